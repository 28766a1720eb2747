// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestResumedStreamWithoutEventIsNotComplete guards against streams that looked whole because the endpoint that resumed them closed its
// connection right after its head.
func TestResumedStreamWithoutEventIsNotComplete(t *testing.T) {
	for name, first := range map[string]string{
		"first until close": untilClose(firstEvent, "id: 2\nda"),
		"first in chunks":   chunkedResponse(firstEvent),
	} {
		t.Run(name, func(t *testing.T) {
			p, server := newTestProxy(t, first, untilClose())
			p.retryBudget = 1
			got := sendRaw(t, server, http.MethodGet, "/resumable", "HTTP/1.1")
			assert.False(t, got.looksComplete, "%s: %.60q", got.framing, got.body)
		})
	}
}
