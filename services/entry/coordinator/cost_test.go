// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// BenchmarkTheWayOfARequest is what the control goroutine and its callers do for a stream that uses an adapter, from the choice of
// its endpoint over its begin to its end.
func BenchmarkTheWayOfARequest(b *testing.B) {
	s := newSite()
	s.start(b)
	require.Eventually(b, func() bool {
		assignment, request, err := s.acquire("a1", time.Second)
		if err == nil {
			s.control.Finish(request, assignment, directory.Succeeded, false)
		}
		return err == nil
	}, waitLimit, lookPace, "the adapter is loaded")
	b.ReportAllocs()
	for b.Loop() {
		assignment, request, err := s.acquire("a1", time.Second)
		if err != nil {
			b.Fatal(err)
		}
		s.control.Running(request, assignment)
		s.control.Finish(request, assignment, directory.Succeeded, false)
	}
}
