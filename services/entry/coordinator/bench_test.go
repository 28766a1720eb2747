// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// BenchmarkRequestLifecycle measures the work of the control goroutine and its callers for a streaming request with an
// adapter: the choice of the endpoint, the begin and the end of the request.
func BenchmarkRequestLifecycle(b *testing.B) {
	f := newFixture()
	f.start(b)
	require.Eventually(b, func() bool {
		assignment, request, err := f.acquire("a1", time.Second)
		if err == nil {
			f.instance.Finish(request, assignment, directory.Succeeded, false)
		}
		return err == nil
	}, waitLimit, pollInterval, "the adapter is loaded")
	b.ReportAllocs()
	for b.Loop() {
		assignment, request, err := f.acquire("a1", time.Second)
		if err != nil {
			b.Fatal(err)
		}
		f.instance.MarkRunning(request, assignment)
		f.instance.Finish(request, assignment, directory.Succeeded, false)
	}
}
