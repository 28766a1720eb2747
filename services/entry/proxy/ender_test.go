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

// TestTheLogTellsWhoEndedAnAttempt: the lines of streams that were closed in their middle said "broken off", and not whether the
// endpoint, the caller or this instance had ended them.
func TestTheLogTellsWhoEndedAnAttempt(t *testing.T) {
	for name, test := range map[string]struct {
		path, script string
		timeout      time.Duration
		// stays is for how long the caller waits; 0 for as long as it takes.
		stays time.Duration
		by    attempt.Ender
		// silent is the least time for which the endpoint had sent nothing.
		silent time.Duration
	}{
		"the endpoint breaks off":          {"/stream", events(first), 0, 0, attempt.ByEndpoint, 0},
		"the endpoint sends nothing":       {"/unsafe", "", 0, 0, attempt.ByEndpoint, 0},
		"the deadline comes":               {"/unsafe", strings.Repeat(quiet, 4), scriptPause, 0, attempt.ByDeadline, scriptPause},
		"the deadline comes in a stream":   {"/stream", events(first) + strings.Repeat(quiet, 4), 2 * scriptPause, 0, attempt.ByDeadline, scriptPause},
		"the caller leaves":                {"/stream", events(first) + strings.Repeat(quiet, 4), 0, 2 * scriptPause, attempt.ByCaller, scriptPause},
		"the request is taken back":        {"/stream", queues, 0, 0, attempt.ByTakeBack, 0},
		"the endpoint gives a whole error": {"/unsafe", whole(500, mark, "no"), 0, 0, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, server := newSite(t, test.script)
			if test.timeout > 0 {
				s.configuration.Match("h", test.path).Timeout = test.timeout
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if test.stays > 0 {
				time.AfterFunc(test.stays, cancel)
			}
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+test.path, http.NoBody)
			require.NoError(t, err)
			request.Host = "h"
			if response, err := server.Client().Do(request); err == nil {
				defer func() { _ = response.Body.Close() }()
				_, _ = response.Body.Read(make([]byte, 1))
			}
			records := (<-s.observed).Attempts
			require.Len(t, records, 1)
			if test.by == "" {
				assert.Nil(t, records[0].Ended)
				return
			}
			require.NotNil(t, records[0].Ended)
			assert.Equal(t, test.by, records[0].Ended.By)
			assert.GreaterOrEqual(t, records[0].Ended.SilentMS, test.silent.Milliseconds()/2)
		})
	}
}
