// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package capacity_test

import (
	"net"
	"testing"
	"time"

	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/relay"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

const (
	// fastLink is the rate of the users' fastest links, in bytes a second, which gives the largest window.
	fastLink = 25_000_000
	// stalledFor is longer than a stream with 1 MB on it may stay without reading, so that links end and begin anew.
	stalledFor = 8 * time.Second
	queueRound = 20 * time.Millisecond
	// viewRounds is how many rounds lie between two heartbeats, 400 ms, and lookRounds between two looks at the heap.
	viewRounds = 20
	lookRounds = 5
)

// stalledFleet is a planner's links to members of which none reads or reports anything.
type stalledFleet struct {
	window *relay.Window[*link]
	links  []*link
	items  []store.Item
	view   *wire.View
	// closed counts links that were given up.
	closed int
	sent   int
}

type link = peerstream.Stream[wire.Message]

// BenchmarkEntryCapacityQueues prints what a planner's queues hold at the most where no member reads, with a configuration of 2,000
// routes and one of 1 MB: the sum over all links, and the heap, in which a frame for several links is there once.
func BenchmarkEntryCapacityQueues(b *testing.B) {
	cases := []struct {
		name   string
		routes int
	}{{"2,000 routes", entryRoutes}, {"1 MB", largestValueRoutes}}
	for _, one := range cases {
		b.Run(one.name, func(b *testing.B) {
			for b.Loop() {
				before := heapAndStacks()
				fleet := newStalledFleet(one.routes)
				queued, heap := fleet.run(time.Now())
				b.ReportMetric(float64(queued)/kilobyte, "KB-queued")
				b.ReportMetric(float64(heap-before)/kilobyte, "KB-heap")
				b.ReportMetric(float64(fleet.sent), "sent")
				b.ReportMetric(float64(fleet.closed), "closed")
				fleet.close()
			}
		})
	}
}

func newStalledFleet(routes int) *stalledFleet {
	f := &stalledFleet{window: relay.NewWindow[*link](relay.WindowFor(fastLink)), items: []store.Item{configurationItem(1, routes)}, view: wholeView()}
	for range entryMembers {
		f.links = append(f.links, f.newLink())
	}
	return f
}

// newLink makes a link whose other end never reads. It begins with a whole view, encoded for it alone, as where each
// member dials at a moment of its own.
func (f *stalledFleet) newLink() *link {
	near, _ := net.Pipe()
	made := peerstream.New[wire.Message](near)
	must(made.Send(wire.Message{View: f.view}))
	return made
}

// run offers the keys to each member in each round, and sends all a heartbeat at its pace. It gives the greatest sum of the queues and the
// greatest heap.
func (f *stalledFleet) run(start time.Time) (queued, heap int64) {
	round := 0
	for now := start; now.Sub(start) < stalledFor; now = time.Now() {
		if round%viewRounds == 0 {
			f.sendHeartbeat()
		}
		f.sendKeys(now)
		if round%lookRounds == 0 {
			queued, heap = max(queued, f.queued()), max(heap, heapAndStacks())
		}
		round++
		time.Sleep(queueRound)
	}
	return queued, heap
}

func (f *stalledFleet) sendHeartbeat() {
	heartbeat := &wire.View{Planner: memberName(0), Term: 3, Heartbeat: true, Members: entryMembers + 1}
	for i := range entryEndpoints {
		heartbeat.Totals = append(heartbeat.Totals, wire.EndpointCount{ID: entryEndpointID(i), Count: 1})
	}
	frame := frameOf(wire.Message{View: heartbeat})
	for i, one := range f.links {
		f.took(i, one.SendFrame(frame))
	}
}

func (f *stalledFleet) sendKeys(now time.Time) {
	for i, one := range f.links {
		if f.window.Send(now, one, 1, follow.SizeOf(f.items)) {
			f.sent++
			f.took(i, one.Send(viewWith(f.items...)))
		}
	}
}

// took replaces a link that was given up, as its member does.
func (f *stalledFleet) took(place int, err error) {
	if err == nil {
		return
	}
	f.closed++
	f.window.RemoveLink(f.links[place])
	f.links[place] = f.newLink()
}

func (f *stalledFleet) queued() int64 {
	sum := int64(0)
	for _, one := range f.links {
		sum += one.QueuedBytes()
	}
	return sum
}

func (f *stalledFleet) close() {
	for _, one := range f.links {
		one.Close()
	}
}
