// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package waiting_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/waiting"
)

type queue = waiting.Queue[string]

func request(id string, priority int) *waiting.Request[string] {
	return waiting.New[string](&deployment.Request{ID: id, Route: &deployment.Route{Priority: priority}}, nil)
}

// review reviews the queue, keeps the requests with the given IDs, and returns the order of the review.
func review(q *queue, kept ...string) []string {
	var order []string
	q.Review(func(r *waiting.Request[string]) bool {
		order = append(order, r.ID)
		for _, id := range kept {
			if id == r.ID {
				return true
			}
		}
		return false
	})
	return order
}

func TestReviewOrdersByPriorityAndArrival(t *testing.T) {
	var q queue
	for _, queued := range []*waiting.Request[string]{request("late", 2), request("a", 1), request("first", 0), request("b", 1), request("c", 1)} {
		q.Add(queued)
	}
	all := []string{"first", "a", "b", "c", "late"}
	assert.Equal(t, all, review(&q, all...))
	assert.Equal(t, all, review(&q, "a", "late"), "a second review has the same order")
	assert.Equal(t, []string{"a", "late"}, review(&q))
	assert.Zero(t, q.Len())
	assert.Empty(t, review(&q), "the queue is empty")
}

func TestRemoveIsIdempotent(t *testing.T) {
	var q queue
	queued, other := request("one", 1), request("other", 1)
	q.Add(queued)
	q.Add(other)
	q.Remove(queued)
	q.Remove(queued)
	q.Remove(request("one", 1))
	assert.Equal(t, []*waiting.Request[string]{other}, q.All())
	q.Remove(other)
	assert.Zero(t, q.Len())
	q.Remove(other)
}

func TestResultIsBuffered(t *testing.T) {
	queued := request("one", 1)
	queued.Result <- "refused"
	assert.Equal(t, "refused", <-queued.Result)
	assert.Equal(t, deployment.ServiceAdapter{Service: queued.Service, Adapter: queued.Adapter}, queued.Key())
}
