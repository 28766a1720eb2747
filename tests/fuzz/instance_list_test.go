// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fuzz_test

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// listSnapshot is the state of the platform's instance list from the time at on.
type listSnapshot struct {
	at        time.Time
	instances []fleet.Instance
	leaving   []string
}

// publishList publishes the nodes that run now and the endpoints that leave in the platform's instance list.
func (s *simulation) publishList() {
	snapshot := listSnapshot{at: s.now, leaving: append([]string(nil), s.leavingEndpoints...)}
	for _, n := range s.sortedNodes() {
		if !n.dead {
			snapshot.instances = append(snapshot.instances, newInstance(n.id))
		}
	}
	s.publishedLists = append(s.publishedLists, snapshot)
}

const (
	// listPollInterval is how often a node reads the platform's instance list.
	listPollInterval = 500 * time.Millisecond
	// maxListLagMS is how old, in milliseconds, the list that a node reads may be.
	maxListLagMS = 1500
)

// pollInstanceList passes a node the instance list as it was a random time before now, and schedules the next poll. A later poll may return
// an older state.
func (s *simulation) pollInstanceList(n *fakeNode) {
	if n.dead {
		return
	}
	asOf := s.now.Add(-time.Duration(s.random.IntN(maxListLagMS)) * time.Millisecond)
	var snapshot listSnapshot
	for _, l := range s.publishedLists {
		if len(snapshot.instances) == 0 || !l.at.After(asOf) {
			snapshot = l
		}
	}
	n.runWhenActive(func() { n.applyEffects(n.node.SetListed(n.clock(), snapshot.instances, snapshot.leaving)) })
	s.schedule(s.now.Add(listPollInterval), func() { s.pollInstanceList(n) })
}
