// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestStreamWithoutEventIsNoAnswer guards against 200 for streams that ended with their connection after a comment or an empty line, before
// any event.
func TestStreamWithoutEventIsNoAnswer(t *testing.T) {
	for name, test := range map[string]struct{ path, content string }{
		"comment":               {"/stream", ": hello\n"},
		"comment, empty line":   {"/stream", ": hello\n\n"},
		"empty line":            {"/stream", "\n"},
		"resumable, comment":    {"/resumable", ": hello\n"},
		"resumable, empty line": {"/resumable", "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			_, server := newTestProxy(t, untilClose(test.content))
			got := sendRaw(t, server, http.MethodGet, test.path, "HTTP/1.1")
			assert.False(t, got.looksComplete && got.framing == framedByClose, "%q", got.body)
		})
	}
}
