// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestRecallRacesWithFirstEvent recalls a request when its first event has arrived but was not processed yet. The caller must
// get an error with that reason, not the beginning of an interrupted stream.
func TestRecallRacesWithFirstEvent(t *testing.T) {
	p, server := newTestProxy(t, scriptQueued+chunkedResponse(firstEvent))
	recall := p.addRecall(p.endpoints[0].ID)
	p.onHead = func() { recall.Fire() }
	assert.Equal(t, callerResponse{502, "not begun in time\n", "", true}, sendRequest(t, server, "/stream", "question"))
}
