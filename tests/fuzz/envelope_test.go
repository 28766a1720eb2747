// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fuzz_test

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// delay draws the delay of a message, 1 to 10 ms. While messages are lossy, one of 20 takes up to 3 s more.
func (s *simulation) delay() time.Duration {
	d := time.Duration(1+s.random.IntN(10)) * time.Millisecond
	if s.lossy && s.random.IntN(20) == 0 {
		d += time.Duration(s.random.IntN(3000)) * time.Millisecond
	}
	return d
}

func (s *simulation) isCut(a, b string) bool {
	return s.cutLinks[a+"|"+b] || s.cutLinks[b+"|"+a]
}

// send sends an envelope, which may be lost, delayed, duplicated or reordered.
func (s *simulation) send(from *fakeNode, e fleet.Envelope) {
	copies := 1
	if s.lossy {
		switch s.random.IntN(12) {
		case 0:
			copies = 0
		case 1:
			copies = 2
		}
	}
	for range copies {
		s.schedule(s.now.Add(s.delay()), func() { s.receive(from.id, e) })
	}
}

func (s *simulation) receive(from string, e fleet.Envelope) {
	for _, n := range s.sortedNodes() {
		if addressOf(n.id) == e.To && !s.isCut(from, n.id) {
			n.runWhenActive(func() { n.applyEffects(n.node.Handle(n.clock(), e)) })
		}
	}
}
