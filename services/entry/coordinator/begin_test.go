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

// overdueLogs returns the log fields of requests that began on a former version after the version limit.
func (f *fixture) overdueLogs() []logrus.Fields {
	var found []logrus.Fields
	for _, entry := range f.log.AllEntries() {
		if entry.Message == "a request began on a former version after the version limit" {
			found = append(found, entry.Data)
		}
	}
	return found
}

// TestBegunRequestIsComparedWithNamedVersions names version 2 of an adapter and lets requests begin before and after the
// limit.
func TestBegunRequestIsComparedWithNamedVersions(t *testing.T) {
	const limit = versionLimit
	f := newFixture()
	f.start(t)
	chosen := f.assignRequest(t).assignment
	f.putVersion("a1")
	f.waitForVersionLog(t, "a1")
	namedAt := time.Now()
	request := &deployment.Request{ID: "id-1", Route: route, Service: service, Adapter: adapter("a1")}
	other := &deployment.Request{ID: "id-2", Route: route, Service: service, Adapter: adapter("a2")}
	plain := &deployment.Request{ID: "id-3", Route: route, Service: service, Adapter: deployment.Adapter{Model: "base"}}
	begin := func(request *deployment.Request, version, held int64) {
		assignment := chosen
		assignment.Version, assignment.HeldVersion = version, held
		f.instance.MarkRunning(request, assignment)
		f.instance.Status()
	}
	begin(request, 2, 2)
	begin(request, 0, 3)
	begin(other, 0, 1)
	begin(plain, 0, 0)
	assert.Empty(t, f.formerUses, "none of these requests began on a former version")

	begin(request, 0, 1)
	require.Len(t, f.formerUses, 1)
	use := <-f.formerUses
	assert.False(t, use.overdue)
	assert.Less(t, use.age, limit)
	assert.Empty(t, f.overdueLogs())

	time.Sleep(time.Until(namedAt.Add(limit + pollInterval)))
	begin(request, 2, 2)
	assert.Empty(t, f.formerUses, "the named version has no time limit")
	begin(request, 0, 1)
	require.Len(t, f.formerUses, 1)
	use = <-f.formerUses
	assert.True(t, use.overdue)
	assert.Greater(t, use.age, limit)
	lines := f.overdueLogs()
	require.Len(t, lines, 1)
	assert.GreaterOrEqual(t, lines[0]["age_ms"], limit.Milliseconds())
	delete(lines[0], "age_ms")
	assert.Equal(t, logrus.Fields{
		"request": "id-1", "endpoint": deployment.EndpointID("e1"), "adapter": "base/a1", "version": int64(1), "newer": int64(2),
		"limit_ms": limit.Milliseconds(),
	}, lines[0])
}

// TestCopyLoadedDuringQueueingIsNotFormerVersion covers an endpoint that receives the new version while the request waits
// in its queue.
func TestCopyLoadedDuringQueueingIsNotFormerVersion(t *testing.T) {
	f := newFixture()
	f.setOtherPlanner(t)
	f.start(t)
	planner := f.acceptDial(t)
	go drain(planner)
	f.putVersion("a1")
	f.waitForVersionLog(t, "a1")
	view := fullView(4, "a1")
	view.Endpoints[0].Models[0].Adapters[0].Version = 2
	require.NoError(t, planner.Send(wireMessage{View: view}))
	f.waitForStatus(t, "has received the copy", func(status coordinator.Status) bool { return status.ResidentCopies == 1 })
	chosen := f.assignRequest(t).assignment
	request := &deployment.Request{Route: route, Service: service, Adapter: adapter("a1")}
	chosen.Version, chosen.HeldVersion = 0, 1
	f.instance.MarkRunning(request, chosen)
	f.instance.Status()
	assert.Empty(t, f.formerUses)
	chosen.Version = 1
	f.instance.MarkRunning(request, chosen)
	f.instance.Status()
	assert.Len(t, f.formerUses, 1, "the endpoint refuses a request that requires the former version")
}
