// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
)

// Call is one request of a caller to an entry. POST is sent if no method is named; Header is laid over the usual one.
type Call struct {
	Method, Path, Adapter, Body string
	Header                      map[string]string
}

// Answer is what a caller got; Broken is set if the answer did not end as a whole one.
type Answer struct {
	ID     string
	Status int
	Header http.Header
	Body   string
	Broken error
}

// calls numbers the requests, each of which has an id of its own.
var calls atomic.Int64

// callersClient never repeats and uses a new connection for each request.
var callersClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// Send sends the call to an entry at HOST:PORT and reads the answer to its end.
func (c Call) Send(ctx context.Context, address string) Answer {
	if c.Method == "" {
		c.Method = http.MethodPost
	}
	answer := Answer{ID: fmt.Sprintf("id-%d", calls.Add(1))}
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.Path, strings.NewReader(c.Body))
	if err != nil {
		answer.Broken = err
		return answer
	}
	request.Host = Host
	request.Header.Set(HeaderRequestID, answer.ID)
	request.Header.Set("X-Deadline-Ms", "5000")
	if c.Adapter != "" {
		request.Header.Set("X-Model", Model+"/"+c.Adapter)
		request.Header.Set("X-Token-Usage", "100,20")
	}
	for name, value := range c.Header {
		request.Header.Set(name, value)
	}
	response, err := callersClient.Do(request)
	if err != nil {
		answer.Broken = err
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	answer.Status, answer.Header, answer.Body, answer.Broken = response.StatusCode, response.Header, string(body), err
	return answer
}

// Event gives the text of one event of a worker's stream.
func Event(number int, id, adapter string) string {
	return fmt.Sprintf("id: %d\ndata: %s.%s.%d\n\n", number, id, adapter, number)
}

// RunCounts counts the runs of each request, over several workers.
func RunCounts(workers ...*Worker) map[string]int {
	counts := make(map[string]int)
	for _, worker := range workers {
		for _, run := range worker.Runs() {
			counts[run.ID]++
		}
	}
	return counts
}
