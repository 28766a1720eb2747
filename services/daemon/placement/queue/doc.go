// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package queue holds the waiting requests of one pool. Queue counts their tokens and orders
// them fairly within a class; Adapter holds the requests that wait for one adapter.
//
// The order is start-time fair queuing by tokens: a customer's next request starts at the
// virtual time at which the customer's previous request ended, so that a burst of one customer
// delays only that customer. Priorities rise with the waiting time (docs/design/0003, queues).
// The virtual end time of a customer's last request is dropped once the customer has had no
// waiting request for a long time (Queue.Prune).
//
// Admission and the choice of the request to start are decided in services/daemon/placement.
// The package starts no goroutines, does not read the clock and is not safe for concurrent use.
package queue
