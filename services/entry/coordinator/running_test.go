// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
)

// overdueLines gives the lines of requests that began too late on an older version.
func (s *site) overdueLines() []logrus.Fields {
	var found []logrus.Fields
	for _, entry := range s.log.AllEntries() {
		if entry.Message == "a request began on an older version after its time" {
			found = append(found, entry.Data)
		}
	}
	return found
}

// TestARunIsComparedWithTheNamedVersions names version 2 of an adapter and lets requests begin before and after the limit.
func TestARunIsComparedWithTheNamedVersions(t *testing.T) {
	const limit = versionLimit
	s := newSite()
	s.start(t)
	chosen := s.sendSoon(t).assignment
	s.putVersion("a1")
	s.namedLine(t, "a1")
	named := time.Now()
	request := &deployment.Request{ID: "id-1", Route: route, Service: service, Adapter: adapter("a1")}
	other := &deployment.Request{ID: "id-2", Route: route, Service: service, Adapter: adapter("a2")}
	plain := &deployment.Request{ID: "id-3", Route: route, Service: service, Adapter: deployment.Adapter{Model: "base"}}
	begin := func(request *deployment.Request, version, held int64) {
		assignment := chosen
		assignment.Version, assignment.Held = version, held
		s.control.Running(request, assignment)
		s.control.Status()
	}
	begin(request, 2, 2)
	begin(request, 0, 3)
	begin(other, 0, 1)
	begin(plain, 0, 0)
	assert.Empty(t, s.formerAges, "none of them is a former version")

	begin(request, 0, 1)
	require.Len(t, s.formerAges, 1)
	seen := <-s.formerAges
	assert.False(t, seen.overdue)
	assert.Less(t, seen.age, limit)
	assert.Empty(t, s.overdueLines())

	time.Sleep(time.Until(named.Add(limit + lookPace)))
	begin(request, 2, 2)
	assert.Empty(t, s.formerAges, "the named version has no end")
	begin(request, 0, 1)
	require.Len(t, s.formerAges, 1)
	seen = <-s.formerAges
	assert.True(t, seen.overdue)
	assert.Greater(t, seen.age, limit)
	lines := s.overdueLines()
	require.Len(t, lines, 1)
	assert.GreaterOrEqual(t, lines[0]["age_ms"], limit.Milliseconds())
	delete(lines[0], "age_ms")
	assert.Equal(t, logrus.Fields{
		"request": "id-1", "endpoint": deployment.EndpointID("e1"), "adapter": "base/a1", "version": int64(1), "newer": int64(2),
		"limit_ms": limit.Milliseconds(),
	}, lines[0])
}

// TestACopyThatCameMeanwhileIsNoFormerVersion: the endpoint got the new version while the request waited in its queue.
func TestACopyThatCameMeanwhileIsNoFormerVersion(t *testing.T) {
	s := newSite()
	s.planElsewhere(t)
	s.start(t)
	planner := s.link(t)
	go drain(planner)
	s.putVersion("a1")
	s.namedLine(t, "a1")
	told := fullView(4, "a1")
	told.Endpoints[0].Models[0].Adapters[0].Version = 2
	require.NoError(t, planner.Send(wireMessage{View: told}))
	s.waitForStatus(t, "knows the copy", func(status coordinator.Status) bool { return status.ResidentCopies == 1 })
	chosen := s.sendSoon(t).assignment
	request := &deployment.Request{Route: route, Service: service, Adapter: adapter("a1")}
	chosen.Version, chosen.Held = 0, 1
	s.control.Running(request, chosen)
	s.control.Status()
	assert.Empty(t, s.formerAges)
	chosen.Version = 1
	s.control.Running(request, chosen)
	s.control.Status()
	assert.Len(t, s.formerAges, 1, "it would have refused a request that demands the former one")
}
