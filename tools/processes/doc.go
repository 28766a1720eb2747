// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package processes starts the project's programs as child processes, each with a settings file and a log file of its own, and ends
// them. It owns the children that it started and no others; the kernel kills them if their parent ends without a word. It starts one
// goroutine for each child, which waits for its end.
package processes
