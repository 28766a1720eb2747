// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fuzz_test

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// delay draws the time that a message takes; a few take very long.
func (w *world) delay() time.Duration {
	d := time.Duration(1+w.random.IntN(10)) * time.Millisecond
	if w.lossy && w.random.IntN(20) == 0 {
		d += time.Duration(w.random.IntN(3000)) * time.Millisecond
	}
	return d
}

func (w *world) isCut(a, b string) bool {
	return w.cuts[a+"|"+b] || w.cuts[b+"|"+a]
}

// send puts an envelope on its way: it may be lost, late, doubled and overtaken.
func (w *world) send(from *fakeNode, e fleet.Envelope) {
	copies := 1
	if w.lossy {
		switch w.random.IntN(12) {
		case 0:
			copies = 0
		case 1:
			copies = 2
		}
	}
	for range copies {
		w.at(w.now.Add(w.delay()), func() { w.arrive(from.id, e) })
	}
}

func (w *world) arrive(from string, e fleet.Envelope) {
	for _, n := range w.sortedNodes() {
		if addressOf(n.id) == e.To && !w.isCut(from, n.id) {
			n.enter(func() { n.do(n.node.Handle(n.clock(), e)) })
		}
	}
}
