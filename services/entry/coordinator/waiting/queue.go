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

// Request is a request that waits for an endpoint. Answer is the type of the answer to it.
type Request[Answer any] struct {
	*deployment.Request
	// Tried are endpoints that were sent the request already.
	Tried []deployment.EndpointID
	// Since is when the wait began, on the own clock.
	Since time.Time
	// Verdict is why no endpoint was chosen at the last attempt.
	Verdict balance.Verdict
	// Result takes the one answer; it never blocks.
	Result chan Answer
}

// New makes a request that has not begun to wait.
func New[Answer any](request *deployment.Request, tried []deployment.EndpointID) *Request[Answer] {
	return &Request[Answer]{Request: request, Tried: tried, Result: make(chan Answer, 1)}
}

// Key names the adapter that the request asks for.
func (r *Request[Answer]) Key() deployment.ServiceAdapter {
	return deployment.ServiceAdapter{Service: r.Service, Adapter: r.Adapter}
}

// Queue holds the requests that wait; the zero value is empty. It is not safe for concurrent use.
type Queue[Answer any] struct {
	list []*Request[Answer]
}

// Add puts a request at the end.
func (q *Queue[Answer]) Add(request *Request[Answer]) {
	q.list = append(q.list, request)
}

// Drop takes a request out; one that does not wait (any more) changes nothing.
func (q *Queue[Answer]) Drop(request *Request[Answer]) {
	if place := slices.Index(q.list, request); place >= 0 {
		q.list = slices.Delete(q.list, place, place+1)
	}
}

// Review asks for each request whether it stays, the lowest number of priority first and those of one priority in
// the order in which they came, and drops the others. stays must not change the queue.
func (q *Queue[Answer]) Review(stays func(*Request[Answer]) bool) {
	if len(q.list) == 0 {
		return
	}
	slices.SortStableFunc(q.list, func(a, b *Request[Answer]) int { return cmp.Compare(a.Route.Priority, b.Route.Priority) })
	q.list = slices.DeleteFunc(q.list, func(request *Request[Answer]) bool { return !stays(request) })
}

// All gives the requests that wait; the caller must not change the list.
func (q *Queue[Answer]) All() []*Request[Answer] {
	return q.list
}

// Len is the number of requests that wait.
func (q *Queue[Answer]) Len() int {
	return len(q.list)
}
