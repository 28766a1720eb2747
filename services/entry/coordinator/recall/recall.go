// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package recall

import (
	"sync"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// Recall recalls one request from its endpoint, at most once and only until the request is known to run. It ends the exchange,
// which closes the connection, so that the endpoint drops the queued request. It is safe for concurrent use. A nil Recall never
// fires.
type Recall struct {
	// Endpoint and Adapter identify the copy to which the request was assigned.
	Endpoint deployment.EndpointID
	Adapter  deployment.Adapter

	mutex sync.Mutex
	state recallState
	// cancel ends the exchange; nil until Arm is called.
	cancel func()
}

// recallState is the state of a recall.
type recallState int

const (
	// pending means that the request can still be recalled.
	pending recallState = iota
	// fired means that the request was recalled.
	fired
	// disarmed means that the request runs or has ended.
	disarmed
)

// Arm sets the function that ends the exchange. If the recall has already fired, Arm calls it at once.
func (r *Recall) Arm(cancel func()) {
	if r == nil {
		return
	}
	if r.setCancel(cancel) == fired {
		cancel()
	}
}

// setCancel stores the function that ends the exchange and returns the state at that moment.
func (r *Recall) setCancel(cancel func()) recallState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cancel = cancel
	return r.state
}

// Fire recalls the request. It returns false if the request was already recalled or can no longer be.
func (r *Recall) Fire() bool {
	cancel, settled := r.settle(fired)
	if settled && cancel != nil {
		cancel()
	}
	return settled
}

// Disarm records that the request runs or has ended, so that it is no longer recalled. It returns false if the request was recalled
// before.
func (r *Recall) Disarm() bool {
	r.settle(disarmed)
	return !r.Fired()
}

// settle moves the recall from pending to a final state and returns the function that ends the exchange. It returns false if the
// state was final before.
func (r *Recall) settle(state recallState) (cancel func(), settled bool) {
	if r == nil {
		return nil, false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.state != pending {
		return nil, false
	}
	r.state = state
	return r.cancel, true
}

// Fired reports whether the request was recalled.
func (r *Recall) Fired() bool {
	if r == nil {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state == fired
}
