// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command replay runs a recorded trace against the product's decision functions
// or a baseline and prints what came of it.
package main
