// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package queue holds the requests that wait in one pool: bounded by tokens, in a fair
// order inside a class (Queue), and what waits for one adapter (Adapter).
//
// The order is start-time fair queuing by tokens: a customer's next request starts where
// its last one ended in virtual time, so that a flood queues behind itself. Priorities rise
// with the wait (docs/design/0003, queues). A customer's place in that order is forgotten when none of its requests has
// waited for long (Queue.Forget).
//
// It owns the waiting requests and relies on nothing; whom to admit, and what may start
// where, is services/daemon/placement's. It starts no goroutines, reads no clock and is not
// safe for concurrent use.
package queue
