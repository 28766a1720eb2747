// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// OrderKind is what an order asks of an endpoint.
type OrderKind int

// The kinds of orders.
const (
	// Load brings an adapter; as a poll, it asks whether its load has ended.
	Load OrderKind = iota
	// Unload drops an adapter.
	Unload
	// Inspect reads the endpoint's own report.
	Inspect
)

// String names the kind in logs.
func (k OrderKind) String() string {
	return [...]string{"load", "unload", "inspect"}[k]
}

// Order is one call to an endpoint. While it is under way, the endpoint gets no other.
type Order struct {
	Kind     OrderKind
	Endpoint deployment.Endpoint
	Adapter  deployment.Adapter
	// ExpectedSequence makes the endpoint refuse the order if it took another since.
	ExpectedSequence int64
	// Poll marks a repetition that asks whether a load or unload has ended.
	Poll bool
}

// Reply is how an endpoint took an order.
type Reply int

// The replies to an order.
const (
	// Holds: what was ordered is so already.
	Holds Reply = iota
	// Accepted: the order is under way.
	Accepted
	// Conflict: another order is under way, or the sequence has moved on.
	Conflict
	// Rejected: the endpoint will not do it, now or later.
	Rejected
	// Unanswered: the order may have been taken, or may be taken later.
	Unanswered
	// NotDelivered: the order surely did not arrive. A report changes nothing at the endpoint, so that every failure to read
	// one counts as not delivered.
	NotDelivered
	// Inspected: the report was read.
	Inspected
)

// String names the reply in logs.
func (r Reply) String() string {
	return [...]string{"holds", "accepted", "conflict", "rejected", "unanswered", "not delivered", "inspected"}[r]
}

// Report is what an endpoint itself says that it holds.
type Report struct {
	// Born is when its process started; zero if it did not say.
	Born     time.Time
	Sequence int64
	// Models are the base models that it holds.
	Models   []string
	Adapters map[deployment.Adapter]int64
	Pending  []deployment.Adapter
	// Busy says that an order for a base model is under way; adapters do not make an endpoint busy.
	Busy bool
}

// Result is the end of an order.
type Result struct {
	Order  Order
	Reply  Reply
	Report *Report
	Took   time.Duration
}
