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

// outcome is the outcome of one attempt.
type outcome int

const (
	// answered means a complete answer to this request, from the right adapter.
	answered outcome = iota
	// refused means that the request did not run and may be sent again.
	refused
	// unknown means that the request may have run; it is not sent again.
	unknown
	// invalid means any other answer, which the programs must never give.
	invalid
)

// reply is the result of one attempt.
type reply struct {
	outcome outcome
	detail  string
	// attempt is the ID that the endpoints know the attempt by, if it differs from the request's ID.
	attempt string
	// wait is how long the caller waits before it sends a refused request again.
	wait time.Duration
	// loadStall is the wait for an adapter load that the answer reports. latency is the time until the answer begins,
	// or until it ends if the beginning is not measured.
	loadStall, latency time.Duration
}

// request is one request of the demo; send makes one attempt.
type request struct {
	id, class string
	send      func() reply
}

// loadRun is a list of requests that a number of concurrent callers send in order.
type loadRun struct {
	requests []request
	callers  int
	// tries is the maximum number of attempts of a request that is refused.
	tries int
	// faults maps the index of a request to a fault that is injected right before that request is sent.
	faults map[int]func() error
}

// result is the last reply to a request and the number of attempts.
type result struct {
	request
	reply
	tries int
}

// sendAll sends all requests, retries refused ones and returns the results in the order of the requests.
func (l loadRun) sendAll() ([]result, error) {
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
		if trouble := l.faults[i]; trouble != nil {
			failed = append(failed, trouble())
		}
		indices <- i
	}
	close(indices)
	callers.Wait()
	return results, errors.Join(failed...)
}

func (l loadRun) send(q request) result {
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

// printReport prints a line for each class. It returns an error for each invalid answer and each class without an answer.
func printReport(results []result, classes ...string) error {
	fmt.Printf("%-10s %8s %8s %8s %8s %8s %6s %26s %32s\n", "class", "requests", "answered", "refused", "unknown", "repeated", "wrong",
		"load stall p50/p95/p99 ms", "first or whole p50/p95/p99 ms")
	var failed []error
	for _, class := range classes {
		counts := make(map[outcome]int)
		requests, repeated := 0, 0
		var stalls, latencies []time.Duration
		for _, r := range results {
			if r.class != class {
				continue
			}
			requests++
			counts[r.outcome]++
			repeated += r.tries - 1
			switch r.outcome {
			case answered:
				stalls, latencies = append(stalls, r.loadStall), append(latencies, r.latency)
			case invalid:
				failed = append(failed, fmt.Errorf("%s: %s", r.id, r.detail))
			default:
				fmt.Printf("  %s after %d attempts: %s\n", r.id, r.tries, r.detail)
			}
		}
		fmt.Printf("%-10s %8d %8d %8d %8d %8d %6d %26s %32s\n", class, requests, counts[answered], counts[refused], counts[unknown],
			repeated, counts[invalid], percentiles(stalls), percentiles(latencies))
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
