// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package plan draws from a seed what a soak does to the processes when. It is a plain function without I/O, clock or goroutines: the
// same seed and options give the same plan.
package plan
