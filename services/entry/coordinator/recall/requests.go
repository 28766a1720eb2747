// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package recall

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// reserveDivisor is the divisor of a version's limit whose quotient is reserved for recalling requests: for the time between the
// acknowledgement of the newer version and its reception here, for the interval of the control goroutine, and for the transmission
// of the close to the endpoint. A smaller divisor reserves more, and recalls requests that would have begun in time.
const reserveDivisor = 5

// BeginBy returns the time by which a request must have begun on an older version, where requests may begin on it within limit
// after a newer version was acknowledged, and the newer version counts from named on.
func BeginBy(named time.Time, limit time.Duration) time.Time {
	return named.Add(limit - limit/reserveDivisor)
}

// Requests holds the requests that are not known to have begun. It is not safe for concurrent use.
type Requests struct {
	// unbounded are the requests without a newer version than theirs.
	unbounded map[*Recall]assigned
	// beginBy is the time by which each of the other requests must have begun.
	beginBy map[*Recall]time.Time
	// abandoned are those requests whose exchange has ended, with the time until which their endpoint may still begin them.
	abandoned map[*Recall]time.Time
}

// assigned is the adapter and version for which a request was assigned.
type assigned struct {
	adapter deployment.Adapter
	// held is the version that the endpoint was assumed to hold.
	held int64
}

// NewRequests returns a set without requests.
func NewRequests() *Requests {
	return &Requests{
		unbounded: make(map[*Recall]assigned), beginBy: make(map[*Recall]time.Time), abandoned: make(map[*Recall]time.Time),
	}
}

// Add adds a request that was assigned to an endpoint, with the version that the endpoint is assumed to hold and the time by which
// the request must have begun, which is zero if no newer version is named.
func (r *Requests) Add(recall *Recall, adapter deployment.Adapter, held int64, beginBy time.Time) {
	if beginBy.IsZero() {
		r.unbounded[recall] = assigned{adapter: adapter, held: held}
		return
	}
	r.beginBy[recall] = beginBy
}

// ApplyVersion applies a newer version of an adapter, with the time by which requests on older versions must have begun. Requests that
// already have such a time keep it, since the first newer version counts. A zero time has no effect.
func (r *Requests) ApplyVersion(adapter deployment.Adapter, version int64, beginBy time.Time) {
	if beginBy.IsZero() {
		return
	}
	for recall, request := range r.unbounded {
		if request.adapter != adapter || request.held >= version {
			continue
		}
		delete(r.unbounded, recall)
		r.beginBy[recall] = beginBy
	}
}

// Remove removes a request that has begun or ended, unless it was abandoned.
func (r *Requests) Remove(recall *Recall) {
	if _, abandoned := r.abandoned[recall]; abandoned {
		return
	}
	r.remove(recall)
}

func (r *Requests) remove(recall *Recall) {
	delete(r.unbounded, recall)
	delete(r.beginBy, recall)
	delete(r.abandoned, recall)
}

// Abandon keeps a request whose exchange ended without a response until a time, for example the request of a caller who left: some
// endpoints keep it and begin it later. It has no effect if the request is known to have begun.
func (r *Requests) Abandon(recall *Recall, until time.Time) {
	_, unbounded := r.unbounded[recall]
	_, bounded := r.beginBy[recall]
	if unbounded || bounded {
		r.abandoned[recall] = until
	}
}

// Sweep removes the abandoned requests that their endpoints no longer begin.
func (r *Requests) Sweep(now time.Time) {
	for recall, until := range r.abandoned {
		if !now.Before(until) {
			r.remove(recall)
		}
	}
}

// TakeLate removes and returns the requests whose time has passed.
func (r *Requests) TakeLate(now time.Time) []*Recall {
	var late []*Recall
	for recall, beginBy := range r.beginBy {
		if now.Before(beginBy) {
			continue
		}
		r.remove(recall)
		late = append(late, recall)
	}
	return late
}
