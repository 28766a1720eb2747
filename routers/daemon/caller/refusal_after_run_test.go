// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/engine"
)

// TestFailureAfterRunIsNotToldAsNotRun guards against callers that are told that their request was not run, since its endpoint answered with the
// status of a refusal after it had run the request. The daemon's promise is the outcome, which stands beside the status.
func TestFailureAfterRunIsNotToldAsNotRun(t *testing.T) {
	const plainPath, modelPath, body = "/plain/hold", "/v1/completions", `{"model":"a"}`
	for name, test := range map[string]struct {
		kind    fleet.EndpointKind
		path    string
		status  int
		outcome fleet.Outcome
	}{
		"plain service, 408": {fleet.KindPlain, plainPath, http.StatusRequestTimeout, fleet.OutcomeAnswered},
		"plain service, 421": {fleet.KindPlain, plainPath, http.StatusMisdirectedRequest, fleet.OutcomeAnswered},
		"plain service, 429": {fleet.KindPlain, plainPath, http.StatusTooManyRequests, fleet.OutcomeAnswered},
		"plain service, 503": {fleet.KindPlain, plainPath, http.StatusServiceUnavailable, fleet.OutcomeAnswered},
		"engine, 408":        {fleet.KindEngine, modelPath, http.StatusRequestTimeout, fleet.OutcomeAnswered},
		"engine, 421":        {fleet.KindEngine, modelPath, http.StatusMisdirectedRequest, fleet.OutcomeAnswered},
		"engine, 503":        {fleet.KindEngine, modelPath, http.StatusServiceUnavailable, fleet.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			endpoint := startRawEndpoint(t, func(conn *net.TCPConn) {
				runs.Add(1)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\n{}", test.status)
			})
			endpoint.Kind = test.kind
			_, address := startRouter(t, endpoint)
			conn := dialRouter(t, address, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", test.path, len(body), body))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			_, err = io.ReadAll(response.Body)
			require.NoError(t, err)
			assert.Equal(t, string(test.outcome), response.Header.Get("X-Outcome"))
			assert.Empty(t, response.Header.Get("Retry-After"))
			assert.Empty(t, response.Header.Get(engine.HeaderNotRun))
			assert.EqualValues(t, 1, runs.Load())
		})
	}
}
