// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package process_test

import (
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// TestEndOfProcessIsNotEndOfAnswer guards against streams without a length or chunks that looked whole to their caller because the process that
// passed them on had ended.
func TestEndOfProcessIsNotEndOfAnswer(t *testing.T) {
	const pause, events = 20 * time.Millisecond, 20
	for name, test := range map[string]struct {
		signal syscall.Signal
		// events is the number of events of the stream, which lasts longer than the grace of a stop where there are many.
		events int
		whole  bool
	}{
		"killed":             {signal: syscall.SIGKILL, events: 1000},
		"grace of stop ends": {signal: syscall.SIGTERM, events: 1000},
		"stop":               {signal: syscall.SIGTERM, events: events, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			i := startInstance(t, time.Minute)
			i.waitUntilAdapterLoaded()
			i.model.SetFaults(standin.WorkerFaults{UntilClose: true})
			c := i.dial()
			path := fmt.Sprintf("%sx?events=%d&pause_ms=%d", standin.LongDeadlinePrefix, test.events, pause.Milliseconds())
			_, err := io.WriteString(c, requestHead(path, "until-close", noBody, adapterHeader))
			require.NoError(t, err)
			response, err := http.ReadResponse(c.reader, nil)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			require.Equal(t, http.StatusOK, response.StatusCode)
			first := make([]byte, len(standin.Event(1, "until-close", "a1")))
			_, err = io.ReadFull(response.Body, first)
			require.NoError(t, err)
			require.NoError(t, i.process.Signal(test.signal))
			rest, err := io.ReadAll(response.Body)
			if !test.whole {
				assert.Error(t, err, "%d bytes look whole", len(rest))
				return
			}
			require.NoError(t, err)
			assert.Contains(t, string(rest), standin.Event(test.events, "until-close", "a1"))
		})
	}
}
