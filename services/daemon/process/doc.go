// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package process builds a daemon from its settings, runs it and stops it gracefully, so that requests in flight can
// finish.
//
// A Daemon owns the listeners and starts and stops all other parts. It starts goroutines for the control goroutine, the
// claimer, the server for callers and the server for operators. The packages of the other parts describe their own
// goroutines.
package process
