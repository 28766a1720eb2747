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

// formerTime is how long after the acknowledgement of a newer version a request may be sent to an endpoint that has the former one.
const formerTime = versionLimit / 2

// quietTime is for how long nothing changes: several watches of the instance that plans.
const quietTime = 3 * time.Second

// TestTheFormerVersionsTimeCountsFromTheAcknowledgement is about requests that began on a former version more than 5 s after a newer
// one was acknowledged by the store.
//
// An instance let the former version serve for half of that from when it learned the newer one's name, however late that
// was, and the other half was to cover the wait in the endpoint's queue, too. The order of events: the store acknowledges the
// name; the instance learns it late; a request is sent to the former version at the end of the time that the instance counts; it
// waits in the endpoint's queue, and begins after 5 s.
//
// The evidence, by this test on that code: two instances whose kept connections to the store fell silent before the name learned it
// 1.3 to 1.4 s after the acknowledgement, and both sent a request to the former version 2.6 s after it; one that started 5 s after the
// acknowledgement let the former version serve 5.1 s after it.
func TestTheFormerVersionsTimeCountsFromTheAcknowledgement(t *testing.T) {
	t.Run("on connections that fall silent before the name", func(t *testing.T) {
		s := newSite(t, 2)
		s.holdFormer()
		s.store.SilenceOpen()
		acknowledged := s.nameSecondVersion()
		s.waitFor("both learn the version", func() bool { return s.logged(0, "version named") && s.logged(1, "version named") })
		t.Logf("both had learned it %s after the acknowledgement", time.Since(acknowledged))
		time.Sleep(time.Until(acknowledged.Add(formerTime + 100*time.Millisecond)))
		s.assertFormerIsOver(acknowledged)
	})
	t.Run("on watches of a store that loses its history", func(t *testing.T) {
		s := newSite(t, 2)
		s.holdFormer()
		s.store.SetFaults(standin.StoreFaults{Deaf: true})
		acknowledged := s.nameSecondVersion()
		time.Sleep(time.Second)
		s.store.DropHistory()
		s.store.SetFaults(standin.StoreFaults{})
		s.waitFor("both learn the version", func() bool { return s.logged(0, "version named") && s.logged(1, "version named") })
		time.Sleep(time.Until(acknowledged.Add(formerTime + 100*time.Millisecond)))
		s.assertFormerIsOver(acknowledged)
	})
	t.Run("at an instance that starts after the name", func(t *testing.T) {
		s := newSite(t, 2)
		s.holdFormer()
		acknowledged := s.nameSecondVersion()
		s.waitFor("both learn the version", func() bool { return s.logged(0, "version named") && s.logged(1, "version named") })
		time.Sleep(time.Until(acknowledged.Add(versionLimit)))
		s.kill(0)
		s.entries[0] = s.startEntry(0)
		s.waitFor("it is ready again", func() bool { return s.isReady(0) })
		s.assertFormerIsOver(acknowledged)
	})
}

// countedAge is how old a name may count as where nothing is wrong, a short watch of the store, and time for a request on a busy machine.
const countedAge = 800 * time.Millisecond

// TestTheFormerVersionServesWhileNothingIsWrong is the worth of the former version: it serves at all instances until its time is over, also
// where nothing had changed for long before the name.
func TestTheFormerVersionServesWhileNothingIsWrong(t *testing.T) {
	s := newSite(t, 2)
	s.holdFormer()
	time.Sleep(quietTime)
	acknowledged := s.nameSecondVersion()
	s.waitFor("both learn the version", func() bool { return s.logged(0, "version named") && s.logged(1, "version named") })
	for time.Since(acknowledged) < formerTime-countedAge {
		for entry := range s.entries {
			got := s.do(call{entry: entry, path: "/chat/x", adapter: "a1"})
			require.Equal(t, http.StatusOK, got.Status, "entry %d, %s after the acknowledgement", entry, time.Since(acknowledged))
		}
	}
}

// holdFormer has an adapter loaded whose next version takes too long for any request.
func (s *site) holdFormer() {
	s.t.Helper()
	require.True(s.t, s.serves(0, "a1"))
	require.True(s.t, s.serves(1, "a1"))
	for _, worker := range s.models {
		worker.SetLoadTime(time.Minute)
	}
}

// assertFormerIsOver asks each entry for the adapter: no request may run on the former version any more.
func (s *site) assertFormerIsOver(acknowledged time.Time) {
	s.t.Helper()
	for entry := range s.entries {
		got := s.do(call{entry: entry, path: "/chat/x", adapter: "a1"})
		assert.Equal(s.t, http.StatusServiceUnavailable, got.Status, "entry %d, %s after the acknowledgement", entry, time.Since(acknowledged))
		assert.Zero(s.t, s.runsOf(got.ID), "entry %d", entry)
	}
}
