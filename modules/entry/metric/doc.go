// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package metric holds the figures of one entry process, in a registry of its own.
package metric
