// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command knownred turns the events of a test run and the list of known failures into one verdict.
package main
