// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// TestQueuedRequestBeginsInTimeAtEndpointThatKeepsClosedRequests covers endpoints that keep a queued request whose connection was closed. Most
// endpoints drop such a request; at the others, closing the connection does not take the request back.
func TestQueuedRequestBeginsInTimeAtEndpointThatKeepsClosedRequests(t *testing.T) {
	s := newSite(t, 1)
	require.True(t, s.serves(0, "a1"))
	s.delayLoadsAndQueue(versionLimit + time.Second)
	for _, worker := range s.models {
		worker.SetFaults(standin.WorkerFaults{KeepsQueued: true})
	}
	var caller sync.WaitGroup
	defer caller.Wait()
	caller.Go(func() { s.do(longDeadlineCall) })
	s.waitFor("the request waits at an endpoint", func() bool { return s.queuedRequests() == 1 })
	acknowledged := s.nameSecondVersion()
	time.Sleep(time.Until(acknowledged.Add(versionLimit + 2*time.Second)))
	s.assertStartedInTime(acknowledged)
}
