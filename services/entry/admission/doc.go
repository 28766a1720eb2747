// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package admission decides whether a request that no endpoint can accept yet continues to wait or is refused, and when a refused
// caller should retry.
//
// The package owns the reasons for refusals and the time-outs of waiting. Its input, a Situation, contains the verdict of package
// balance and the planner's forecasts. It keeps no state, does no I/O and starts no goroutines. The coordinator calls it when a
// request arrives and after each change that may allow a waiting request to be sent.
package admission
