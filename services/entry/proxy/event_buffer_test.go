// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// TestUnterminatedEventIsBounded checks the limit on buffered incomplete events of a resumable stream: without the limit, an endpoint
// that never ends an event would fill the memory.
func TestUnterminatedEventIsBounded(t *testing.T) {
	eventOfSize := func(size int) string { return "data: " + strings.Repeat("x", size) }
	for name, test := range map[string]struct {
		path, script string
		response     callerResponse
		results      []attempt.Result
	}{
		"event just below 1 MiB": {
			"/resumable", chunkedResponse(eventOfSize(1<<20-100)+"\n\n") + lastChunk, callerResponse{200, eventOfSize(1<<20-100) + "\n\n", "", true},
			[]attempt.Result{attempt.Finished},
		},
		"event of 2 MiB": {
			"/resumable", chunkedResponse(firstEvent, eventOfSize(2<<20)+"\n\n") + lastChunk, callerResponse{200, firstEvent, "", false}, []attempt.Result{attempt.Interrupted},
		},
		"event of 2 MiB in a stream without buffering": {
			"/stream", chunkedResponse(firstEvent, eventOfSize(2<<20)+"\n\n") + lastChunk, callerResponse{200, firstEvent + eventOfSize(2<<20) + "\n\n", "", true},
			[]attempt.Result{attempt.Finished},
		},
	} {
		t.Run(name, func(t *testing.T) {
			p, server := newTestProxy(t, test.script)
			got := sendRequest(t, server, test.path, "")
			assert.Equal(t, test.response.complete, got.complete)
			assert.Len(t, got.body, len(test.response.body))
			observation := <-p.observations
			var results []attempt.Result
			for _, record := range observation.Attempts {
				results = append(results, record.Result)
			}
			assert.Equal(t, test.results, results)
			if !test.response.complete {
				assert.Equal(t, []directory.Outcome{directory.Broken}, p.outcomes)
			}
		})
	}
}
