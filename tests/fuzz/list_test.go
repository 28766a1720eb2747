// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fuzz_test

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// listState is the platform's list from some moment on.
type listState struct {
	at        time.Time
	instances []fleet.Instance
	leaving   []string
}

// publishList brings the platform's list up to date.
func (w *world) publishList() {
	state := listState{at: w.now, leaving: append([]string(nil), w.leavers...)}
	for _, n := range w.sortedNodes() {
		if !n.dead {
			state.instances = append(state.instances, instance(n.id))
		}
	}
	w.lists = append(w.lists, state)
}

const (
	pollList = 500 * time.Millisecond
	listLag  = 1500
)

// poll reads the list as it was a while ago; a later look may show an older state.
func (w *world) poll(n *fakeNode) {
	if n.dead {
		return
	}
	seen := w.now.Add(-time.Duration(w.random.IntN(listLag)) * time.Millisecond)
	var state listState
	for _, l := range w.lists {
		if len(state.instances) == 0 || !l.at.After(seen) {
			state = l
		}
	}
	n.enter(func() { n.do(n.node.SetListed(n.clock(), state.instances, state.leaving)) })
	w.at(w.now.Add(pollList), func() { w.poll(n) })
}
