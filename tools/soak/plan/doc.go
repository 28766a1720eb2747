// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package plan draws the plan of a soak from a seed: which faults and changes are injected into which process at which time. It has no
// I/O, clock or goroutines. The same seed and options give the same plan.
package plan
