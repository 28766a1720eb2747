// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package coordinator is the control part of one entry process. One goroutine owns all
// control state: the endpoints, the configuration, requests that wait for an endpoint, the
// link to the planner, and, while this process holds the ownership, the plan itself.
//
// Other goroutines read the store, talk to peers and send orders; they hand what they learn to
// the control goroutine and keep no state of their own. Requests come in by Acquire and Finish.
package coordinator
