// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package fuzz contains the stateful fuzz test of several nodes that work together. All code is in the test files.
package fuzz
