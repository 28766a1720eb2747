// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// TestVersionNamedDuringLostWatchEventsAppliesToQueuedRequests guards against a request that begins on the former version after its limit,
// because the instance received the new version late. The store loses its history, and its watches deliver no events for a second. A version
// that is named within that second is found by reading the store. Its age counts from the last time at which the instance had proof that it
// had missed no change.
func TestVersionNamedDuringLostWatchEventsAppliesToQueuedRequests(t *testing.T) {
	s := newSite(t, 1)
	require.True(t, s.serves(0, "a1"))
	s.delayLoadsAndQueue(versionLimit + 3*time.Second)
	var caller sync.WaitGroup
	defer caller.Wait()
	caller.Go(func() { s.do(longDeadlineCall) })
	s.waitFor("the request waits at an endpoint", func() bool { return s.queuedRequests() == 1 })
	s.store.DropHistory()
	s.store.SetFaults(standin.StoreFaults{Deaf: true})
	acknowledged := s.nameSecondVersion()
	time.Sleep(time.Until(acknowledged.Add(time.Second)))
	s.store.SetFaults(standin.StoreFaults{})
	s.waitFor("the version is named", func() bool { return s.hasLogged(0, "version named") })
	time.Sleep(time.Until(acknowledged.Add(versionLimit)))
	assert.Zero(t, s.queuedRequests(), "a request that is still queued at the limit would begin after it")
}
