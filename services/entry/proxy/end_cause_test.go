// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// TestAttemptRecordNamesEndCause guards against log lines of interrupted streams that state only "broken off" and not whether the
// endpoint, the caller or this instance ended the attempt.
func TestAttemptRecordNamesEndCause(t *testing.T) {
	for name, test := range map[string]struct {
		path, script string
		timeout      time.Duration
		// callerTimeout is the time after which the caller disconnects; 0 if it waits for the end of the response.
		callerTimeout time.Duration
		by            attempt.EndCause
		// silent is the minimum time for which the endpoint must have sent nothing.
		silent time.Duration
	}{
		"endpoint closes connection during stream":    {"/stream", chunkedResponse(firstEvent), 0, 0, attempt.EndedByEndpoint, 0},
		"endpoint closes connection without response": {"/unsafe", "", 0, 0, attempt.EndedByEndpoint, 0},
		"deadline passes before response":             {"/unsafe", strings.Repeat(searchSilence, 4), scriptPause, 0, attempt.EndedByDeadline, scriptPause},
		"deadline passes during stream":               {"/stream", chunkedResponse(firstEvent) + strings.Repeat(searchSilence, 4), 2 * scriptPause, 0, attempt.EndedByDeadline, scriptPause},
		"caller disconnects":                          {"/stream", chunkedResponse(firstEvent) + strings.Repeat(searchSilence, 4), 0, 2 * scriptPause, attempt.EndedByCaller, scriptPause},
		"request is recalled":                         {"/stream", scriptQueued, 0, 0, attempt.EndedByRecall, 0},
		"endpoint sends a complete error":             {"/unsafe", fixedResponse(500, endpointMarkHeader, "no"), 0, 0, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			p, server := newTestProxy(t, test.script)
			if test.timeout > 0 {
				p.configuration.Match("h", test.path).Timeout = test.timeout
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if test.callerTimeout > 0 {
				time.AfterFunc(test.callerTimeout, cancel)
			}
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+test.path, http.NoBody)
			require.NoError(t, err)
			request.Host = "h"
			if response, err := server.Client().Do(request); err == nil {
				defer func() { _ = response.Body.Close() }()
				_, _ = response.Body.Read(make([]byte, 1))
			}
			records := (<-p.observations).Attempts
			require.Len(t, records, 1)
			if test.by == "" {
				assert.Nil(t, records[0].Ended)
				return
			}
			require.NotNil(t, records[0].Ended)
			assert.Equal(t, test.by, records[0].Ended.Cause)
			assert.GreaterOrEqual(t, records[0].Ended.SilentMS, test.silent.Milliseconds()/2)
		})
	}
}
