// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package work estimates how long endpoints take for their requests: a prompt is read before the first event is sent,
// and a long prompt delays those queued behind it.
//
// Speed estimates how fast an endpoint reads prompts from the first events of the requests sent there. Rank computes
// the urgency with which an endpoint is to start a request. The package keeps no other state, performs no I/O and
// starts no goroutine. Package directory holds one Speed for each endpoint, and all rules that compare endpoints by
// work take their times from it.
package work
