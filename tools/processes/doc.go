// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package processes starts the project's programs as child processes, each with its own settings file and log file, and
// stops them. It manages only the children that it started; the kernel kills them if the parent process ends without
// stopping them. It starts one goroutine per child, which waits for the child to exit.
package processes
