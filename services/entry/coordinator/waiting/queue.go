// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package waiting

import (
	"cmp"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/balance"
)

// Request is a request that waits for an endpoint. Answer is the type of its answer.
type Request[Answer any] struct {
	*deployment.Request
	// Tried are the endpoints to which the request was sent before.
	Tried []deployment.EndpointID
	// Since is when the wait started, by the clock of this instance.
	Since time.Time
	// Verdict is the reason why no endpoint was chosen at the last attempt.
	Verdict balance.Verdict
	// Trial reports that the request is sent as the trial that shows whether it makes endpoints end. Counted reports that its arrival was
	// counted as demand for its adapter.
	Trial, Counted bool
	// PartTrial reports the same for a part of its prompt.
	PartTrial bool
	// Result receives the only answer. Its buffer holds one, so that sending never blocks.
	Result chan Answer
}

// New returns a request that is not queued yet.
func New[Answer any](request *deployment.Request, tried []deployment.EndpointID) *Request[Answer] {
	return &Request[Answer]{Request: request, Tried: tried, Result: make(chan Answer, 1)}
}

// Key returns the requested adapter and its service.
func (r *Request[Answer]) Key() deployment.ServiceAdapter {
	return deployment.ServiceAdapter{Service: r.Service, Adapter: r.Adapter}
}

// Queue holds the waiting requests. The zero value is empty. It is not safe for concurrent use.
type Queue[Answer any] struct {
	list []*Request[Answer]
}

// Add appends a request.
func (q *Queue[Answer]) Add(request *Request[Answer]) {
	q.list = append(q.list, request)
}

// Remove removes a request. It has no effect if the request is not in the queue.
func (q *Queue[Answer]) Remove(request *Request[Answer]) {
	if place := slices.Index(q.list, request); place >= 0 {
		q.list = slices.Delete(q.list, place, place+1)
	}
}

// Review calls stays for each request and removes those for which it returns false. It starts with the lowest priority number and
// keeps the order of arrival within a priority. stays must not change the queue.
func (q *Queue[Answer]) Review(stays func(*Request[Answer]) bool) {
	if len(q.list) == 0 {
		return
	}
	slices.SortStableFunc(q.list, func(a, b *Request[Answer]) int { return cmp.Compare(a.Route.Priority, b.Route.Priority) })
	q.list = slices.DeleteFunc(q.list, func(request *Request[Answer]) bool { return !stays(request) })
}

// TakeAll removes and returns all requests, in the order of their arrival.
func (q *Queue[Answer]) TakeAll() []*Request[Answer] {
	list := q.list
	q.list = nil
	return list
}

// All returns the waiting requests. The caller must not change the list.
func (q *Queue[Answer]) All() []*Request[Answer] {
	return q.list
}

// Len returns the number of waiting requests.
func (q *Queue[Answer]) Len() int {
	return len(q.list)
}
