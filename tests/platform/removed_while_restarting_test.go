// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestEndpointThatIsRemovedWhilePlannerRestartsGetsNoRequests guards against instances that keep an endpoint whose removal no planner saw: it
// was gone before the planner's process had started again.
func TestEndpointThatIsRemovedWhilePlannerRestartsGetsNoRequests(t *testing.T) {
	s := newSite(t, 3)
	former := s.planner()
	leaving := s.plain[0]
	s.kill(former)
	leaving.Deregister()
	s.entries[former] = s.startEntry(former)
	time.Sleep(leavingTime)
	arrived := len(leaving.Arrivals())
	for range 20 {
		for entry := range s.entries {
			if entry != former {
				assert.Equal(t, http.StatusOK, s.do(call{entry: entry, method: http.MethodGet, path: "/status/x"}).Status)
			}
		}
	}
	assert.Len(t, leaving.Arrivals(), arrived, "no request reaches the endpoint later than the limit")
}
