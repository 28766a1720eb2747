// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package work estimates how long endpoints take for what they are asked to do: a prompt is read before the first event
// comes, and a long one holds up those behind it.
//
// Speed learns how fast an endpoint reads prompts from the first events of the requests that were sent there; Rank gives the
// urgency with which an endpoint is to take a request up. The package keeps no other state, does no I/O and starts no goroutine: package directory owns one Speed for each endpoint, and all
// rules that weigh endpoints against each other take their times from it.
package work
