// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package endless has a server for tests that sends bytes without end in place of an answer.
//
// A Server starts one goroutine that accepts and one for each connection; all end with the test.
package endless
