// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// OrderKind is the operation that an order requests.
type OrderKind int

// The kinds of orders.
const (
	// Load loads an adapter; as a poll, it asks whether the load has ended.
	Load OrderKind = iota
	// Unload unloads an adapter.
	Unload
	// Inspect reads the endpoint's own report.
	Inspect
)

// String returns the name of the kind used in logs.
func (k OrderKind) String() string {
	return [...]string{"load", "unload", "inspect"}[k]
}

// Order is one call to an endpoint. No other order is sent to the endpoint while it is in flight.
type Order struct {
	Kind     OrderKind
	Endpoint deployment.Endpoint
	Adapter  deployment.Adapter
	// Version is the version to load in place of the one that the endpoint holds; 0 loads the newest version.
	Version int64
	// ExpectedSequence makes the endpoint refuse the order if it has accepted another one since.
	ExpectedSequence int64
	// Poll marks a repeated order that asks whether a load or unload has ended.
	Poll bool
}

// IsReplacement reports whether the order replaces a version of an adapter that requests still use. It is not known when
// such a load ends.
func (o Order) IsReplacement() bool {
	return o.Version != 0
}

// Reply is an endpoint's response to an order.
type Reply int

// The replies to an order.
const (
	// Holds means that the ordered state already exists.
	Holds Reply = iota
	// Accepted means that the order is in progress.
	Accepted
	// Conflict means that another order is in progress or that the endpoint has a different sequence.
	Conflict
	// Rejected means that the endpoint will never carry out the order.
	Rejected
	// Unanswered means that the order may have been accepted or may be accepted later.
	Unanswered
	// NotDelivered means that the order certainly did not reach the endpoint. Reading a report changes nothing at the
	// endpoint, so every failure to read one counts as not delivered.
	NotDelivered
	// Inspected means that the report was read.
	Inspected
)

// String returns the name of the reply used in logs.
func (r Reply) String() string {
	return [...]string{"holds", "accepted", "conflict", "rejected", "unanswered", "not delivered", "inspected"}[r]
}

// Report is the state that an endpoint itself reports.
type Report struct {
	// Born is the start time of the endpoint's process; zero if the report does not name one.
	Born     time.Time
	Sequence int64
	// Models are the base models that the endpoint holds.
	Models   []string
	Adapters map[deployment.Adapter]int64
	Pending  []deployment.Adapter
	// Busy reports whether an order for a base model is in progress; adapter orders do not set it.
	Busy bool
}

// Result is the outcome of an order.
type Result struct {
	Order  Order
	Reply  Reply
	Report *Report
	Took   time.Duration
}
