// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package unbegun

import "sync"

// Recall takes one request back from its endpoint, at most once and only until it is seen to run: the exchange is ended, so that its
// connection closes and the endpoint drops what it has queued. It is safe for concurrent use. A nil Recall never fires.
type Recall struct {
	mutex sync.Mutex
	state recallState
	// cancel ends the exchange; nil before it is armed.
	cancel func()
}

// recallState is how far a recall has come.
type recallState int

const (
	// pending: the request may still be taken back.
	pending recallState = iota
	// fired: it was taken back.
	fired
	// disarmed: it runs or has ended.
	disarmed
)

// Arm gives what ends the exchange. Where the recall has fired before, the exchange ends at once.
func (r *Recall) Arm(cancel func()) {
	if r == nil {
		return
	}
	if r.keep(cancel) == fired {
		cancel()
	}
}

// keep remembers what ends the exchange and gives the state as of then.
func (r *Recall) keep(cancel func()) recallState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cancel = cancel
	return r.state
}

// Fire takes the request back; false if it was, or is not to be any more.
func (r *Recall) Fire() bool {
	cancel, settled := r.settle(fired)
	if settled && cancel != nil {
		cancel()
	}
	return settled
}

// Disarm says that the request runs or has ended: from now on it is not taken back. It is false where it was before.
func (r *Recall) Disarm() bool {
	r.settle(disarmed)
	return !r.Fired()
}

// settle ends the time in which the request could be taken back, and gives what ends the exchange; false if it had ended before.
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

// Fired tells whether the request was taken back.
func (r *Recall) Fired() bool {
	if r == nil {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state == fired
}
