// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestARequestThatIsTakenBackAsItsFirstEventComes: the event is there when the request is taken back, and was not seen yet. Its caller
// gets an end that says so, not the beginning of a stream that breaks off.
func TestARequestThatIsTakenBackAsItsFirstEventComes(t *testing.T) {
	s, server := newSite(t, queues+events(first))
	recall := s.track(s.endpoints[0].ID)
	s.onHead = func() { recall.Fire() }
	assert.Equal(t, answered{502, "not begun in time\n", "", true}, ask(t, server, "/stream", "question"))
}
