// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/tools/stats"
)

// outcome is what one attempt came to.
type outcome int

const (
	// answered is a whole answer, its own and from the right adapter.
	answered outcome = iota
	// refused says that the request was not run and may be sent again.
	refused
	// unknown says truly that it may have run; it is not sent again.
	unknown
	// wrong is everything that must not be.
	wrong
)

// reply is one attempt's outcome.
type reply struct {
	outcome outcome
	detail  string
	// attempt is the id that the endpoints know it by, if not that of its request.
	attempt string
	// wait is how long the caller waits before it sends a refused request again.
	wait time.Duration
	// stalled is the wait for a load that the answer tells, first the time until the answer begins, or ends where that is all that is known.
	stalled, first time.Duration
}

// request is one request of the demo; send makes one attempt.
type request struct {
	id, class string
	send      func() reply
}

// load is a number of requests, sent in order by so many callers at once.
type load struct {
	requests []request
	callers  int
	// tries bounds the attempts of a request that is refused.
	tries int
	// troubles are carried out right before the request of their index is sent.
	troubles map[int]func() error
}

// result is what became of a request.
type result struct {
	request
	reply
	tries int
}

// run sends all requests, and again what was refused.
func (l load) run() ([]result, error) {
	results := make([]result, len(l.requests))
	indices := make(chan int)
	var callers sync.WaitGroup
	for range l.callers {
		callers.Go(func() {
			for i := range indices {
				results[i] = l.send(l.requests[i])
			}
		})
	}
	var failed []error
	for i := range l.requests {
		if trouble := l.troubles[i]; trouble != nil {
			failed = append(failed, trouble())
		}
		indices <- i
	}
	close(indices)
	callers.Wait()
	return results, errors.Join(failed...)
}

func (l load) send(q request) result {
	r := result{request: q}
	for {
		r.tries++
		r.reply = q.send()
		if r.outcome != refused || r.tries == l.tries {
			return r
		}
		time.Sleep(r.wait)
	}
}

// report prints a line for each class and gives an error for each answer that was wrong.
func report(results []result, classes ...string) error {
	fmt.Printf("%-10s %8s %8s %8s %8s %8s %6s %26s %32s\n", "class", "requests", "answered", "refused", "unknown", "repeated", "wrong",
		"load stall p50/p95/p99 ms", "first or whole p50/p95/p99 ms")
	var failed []error
	for _, class := range classes {
		counts := make(map[outcome]int)
		requests, repeated := 0, 0
		var stalls, firsts []time.Duration
		for _, r := range results {
			if r.class != class {
				continue
			}
			requests++
			counts[r.outcome]++
			repeated += r.tries - 1
			switch r.outcome {
			case answered:
				stalls, firsts = append(stalls, r.stalled), append(firsts, r.first)
			case wrong:
				failed = append(failed, fmt.Errorf("%s: %s", r.id, r.detail))
			default:
				fmt.Printf("  %s after %d attempts: %s\n", r.id, r.tries, r.detail)
			}
		}
		fmt.Printf("%-10s %8d %8d %8d %8d %8d %6d %26s %32s\n", class, requests, counts[answered], counts[refused], counts[unknown],
			repeated, counts[wrong], percentiles(stalls), percentiles(firsts))
		if counts[answered] == 0 {
			failed = append(failed, fmt.Errorf("no request of class %s was answered", class))
		}
	}
	return errors.Join(failed...)
}

func percentiles(list []time.Duration) string {
	at := func(q float64) int64 { return stats.Percentile(list, q).Milliseconds() }
	return fmt.Sprintf("%d / %d / %d", at(0.5), at(0.95), at(0.99))
}
