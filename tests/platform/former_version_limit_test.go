// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// formerSendLimit is how long after the acknowledgement of a newer version a request may be sent to an endpoint that has the former version.
const formerSendLimit = versionLimit / 2

// idleTime is how long nothing changes in the store. It covers several watch calls of the planner.
const idleTime = 3 * time.Second

// TestFormerVersionLimitCountsFromAcknowledgement guards against requests that begin on a former version more than 5 s after the store
// acknowledged a newer version.
//
// An instance sent requests to the former version for half of the 5 s, counted from when it received the newer version, however late that was.
// The other half had to cover the wait in the queue of the endpoint. So the store acknowledged the version, the instance received it late, sent
// a request to the former version at the end of its half, and the request waited in the queue and began after 5 s.
//
// On that code, two instances whose open connections to the store stalled before the version was named received it 1.3 to 1.4 s after the
// acknowledgement. Each of them sent a request to the former version 2.6 s after the acknowledgement. An instance that started 5 s after the
// acknowledgement sent a request to the former version 5.1 s after it.
func TestFormerVersionLimitCountsFromAcknowledgement(t *testing.T) {
	t.Run("store connections stall before the version is named", func(t *testing.T) {
		s := newSite(t, 2)
		s.holdFormerVersion()
		s.store.StallOpenConnections()
		acknowledged := s.nameSecondVersion()
		s.waitFor("both instances have received the version", func() bool { return s.hasLogged(0, "version named") && s.hasLogged(1, "version named") })
		t.Logf("both instances had received the version %s after the acknowledgement", time.Since(acknowledged))
		time.Sleep(time.Until(acknowledged.Add(formerSendLimit + 100*time.Millisecond)))
		s.assertFormerVersionRejected(acknowledged)
	})
	t.Run("store withholds watch events and loses its history", func(t *testing.T) {
		s := newSite(t, 2)
		s.holdFormerVersion()
		s.store.SetFaults(standin.StoreFaults{Deaf: true})
		acknowledged := s.nameSecondVersion()
		time.Sleep(time.Second)
		s.store.DropHistory()
		s.store.SetFaults(standin.StoreFaults{})
		s.waitFor("both instances have received the version", func() bool { return s.hasLogged(0, "version named") && s.hasLogged(1, "version named") })
		time.Sleep(time.Until(acknowledged.Add(formerSendLimit + 100*time.Millisecond)))
		s.assertFormerVersionRejected(acknowledged)
	})
	t.Run("instance starts after the version is named", func(t *testing.T) {
		s := newSite(t, 2)
		s.holdFormerVersion()
		acknowledged := s.nameSecondVersion()
		s.waitFor("both instances have received the version", func() bool { return s.hasLogged(0, "version named") && s.hasLogged(1, "version named") })
		time.Sleep(time.Until(acknowledged.Add(versionLimit)))
		s.kill(0)
		s.entries[0] = s.startEntry(0)
		s.waitFor("the restarted instance is ready", func() bool { return s.isReady(0) })
		s.assertFormerVersionRejected(acknowledged)
	})
}

// maxVersionAge is the age at which a version may count as received without any fault: a short watch call to the store, and the time of a
// request on a busy machine.
const maxVersionAge = 800 * time.Millisecond

// TestFormerVersionServesUntilLimitWithoutFaults checks that all instances use the former version until formerSendLimit, also if nothing had
// changed in the store for idleTime before the newer version was named.
func TestFormerVersionServesUntilLimitWithoutFaults(t *testing.T) {
	s := newSite(t, 2)
	s.holdFormerVersion()
	time.Sleep(idleTime)
	acknowledged := s.nameSecondVersion()
	s.waitFor("both instances have received the version", func() bool { return s.hasLogged(0, "version named") && s.hasLogged(1, "version named") })
	for time.Since(acknowledged) < formerSendLimit-maxVersionAge {
		for entry := range s.entries {
			answer := s.do(call{entry: entry, path: "/chat/x", adapter: "a1"})
			require.Equal(t, http.StatusOK, answer.Status, "entry %d, %s after the acknowledgement", entry, time.Since(acknowledged))
		}
	}
}

// holdFormerVersion loads adapter a1 and makes later loads take a minute, so that the next version is ready for no request of the test.
func (s *site) holdFormerVersion() {
	s.t.Helper()
	require.True(s.t, s.serves(0, "a1"))
	require.True(s.t, s.serves(1, "a1"))
	for _, worker := range s.models {
		worker.SetLoadTime(time.Minute)
	}
}

// assertFormerVersionRejected sends a request for the adapter to each instance, and checks that none runs on the former version any more.
func (s *site) assertFormerVersionRejected(acknowledged time.Time) {
	s.t.Helper()
	for entry := range s.entries {
		answer := s.do(call{entry: entry, path: "/chat/x", adapter: "a1"})
		assert.Equal(s.t, http.StatusServiceUnavailable, answer.Status, "entry %d, %s after the acknowledgement", entry, time.Since(acknowledged))
		assert.Zero(s.t, s.runCount(answer.ID), "entry %d", entry)
	}
}
