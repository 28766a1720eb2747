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
	// fastLinkRate is the rate of the users' fastest links in bytes per second, which gives the largest window.
	fastLinkRate = 25_000_000
	// stallDuration is longer than a stream with 1 MB queued may go without being read, so that links are closed and opened again.
	stallDuration = 8 * time.Second
	roundInterval = 20 * time.Millisecond
	// roundsPerHeartbeat is the number of rounds between two heartbeats, which are 400 ms apart; roundsPerSample is the number of rounds
	// between two samples of the heap.
	roundsPerHeartbeat = 20
	roundsPerSample    = 5
)

// stalledFleet is a planner's links to members that read nothing and send no reports.
type stalledFleet struct {
	window *relay.Window[*link]
	links  []*link
	items  []store.Item
	view   *wire.View
	// closedLinks counts the links that were closed because their member did not read.
	closedLinks  int
	sentMessages int
}

type link = peerstream.Stream[wire.Message]

// BenchmarkEntryCapacityQueues reports the greatest memory of a planner's queues while no member reads, with a configuration of 2,000
// routes and one of 1 MB: the sum of queued bytes over all links, and the heap, in which a frame queued on several links counts once.
func BenchmarkEntryCapacityQueues(b *testing.B) {
	cases := []struct {
		name   string
		routes int
	}{{"2,000 routes", entryRoutes}, {"1 MB", largestValueRoutes}}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				before := heapAndStacks()
				fleet := newStalledFleet(c.routes)
				queued, heap := fleet.run(time.Now())
				b.ReportMetric(float64(queued)/kilobyte, "KB-queued")
				b.ReportMetric(float64(heap-before)/kilobyte, "KB-heap")
				b.ReportMetric(float64(fleet.sentMessages), "sent")
				b.ReportMetric(float64(fleet.closedLinks), "closed")
				fleet.close()
			}
		})
	}
}

func newStalledFleet(routes int) *stalledFleet {
	f := &stalledFleet{window: relay.NewWindow[*link](relay.WindowFor(fastLinkRate)), items: []store.Item{configurationItem(1, routes)}, view: fullView()}
	for range entryMembers {
		f.links = append(f.links, f.newLink())
	}
	return f
}

// newLink returns a link whose other end never reads. A full view is queued on it first, encoded for this link alone, as when members
// connect at different times.
func (f *stalledFleet) newLink() *link {
	near, _ := net.Pipe()
	stream := peerstream.New[wire.Message](near)
	must(stream.Send(wire.Message{View: f.view}))
	return stream
}

// run offers the operators' keys to each member in each round and sends heartbeats at their interval. It returns the greatest sum of queued
// bytes and the greatest heap size.
func (f *stalledFleet) run(start time.Time) (queued, heap int64) {
	round := 0
	for now := start; now.Sub(start) < stallDuration; now = time.Now() {
		if round%roundsPerHeartbeat == 0 {
			f.sendHeartbeat()
		}
		f.sendKeys(now)
		if round%roundsPerSample == 0 {
			queued, heap = max(queued, f.queued()), max(heap, heapAndStacks())
		}
		round++
		time.Sleep(roundInterval)
	}
	return queued, heap
}

func (f *stalledFleet) sendHeartbeat() {
	heartbeat := &wire.View{Planner: memberName(0), Term: 3, Heartbeat: true, Members: entryMembers + 1}
	for i := range entryEndpoints {
		heartbeat.Totals = append(heartbeat.Totals, wire.EndpointCount{ID: entryEndpointID(i), Count: 1})
	}
	frame := encodeFrame(wire.Message{View: heartbeat})
	for i, l := range f.links {
		f.replaceOnError(i, l.SendFrame(frame))
	}
}

func (f *stalledFleet) sendKeys(now time.Time) {
	for i, l := range f.links {
		if f.window.Send(now, l, 1, follow.SizeOf(f.items)) {
			f.sentMessages++
			f.replaceOnError(i, l.Send(viewWithItems(f.items...)))
		}
	}
}

// replaceOnError opens a new link in place of one whose send failed, as the member does.
func (f *stalledFleet) replaceOnError(index int, err error) {
	if err == nil {
		return
	}
	f.closedLinks++
	f.window.RemoveLink(f.links[index])
	f.links[index] = f.newLink()
}

func (f *stalledFleet) queued() int64 {
	sum := int64(0)
	for _, l := range f.links {
		sum += l.QueuedBytes()
	}
	return sum
}

func (f *stalledFleet) close() {
	for _, l := range f.links {
		l.Close()
	}
}
