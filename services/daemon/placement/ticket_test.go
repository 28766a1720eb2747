// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// running makes a placer of one slot with adapter a, and one request of instance i2 on it.
func running(t *testing.T) (*placement.Placer, fleet.Ticket) {
	t.Helper()
	p := newPlacer(endpoint(1))
	p.Inspected(at(2), list(1, ref("a")))
	r := request("q1", "a")
	r.Entry = "i2"
	granted := only[placement.Grant](p.Submit(at(3), r))
	require.Len(t, granted, 1)
	return p, granted[0].Ticket
}

// evicts tells whether the slot of adapter a can be had for another adapter.
func evicts(p *placement.Placer, now time.Time) bool {
	p.Submit(now, request("other", "b"))
	_, used := p.UsePermit(now)
	return used
}

func TestTicketComesBackOnce(t *testing.T) {
	p, ticket := running(t)
	require.False(t, evicts(p, at(4)))
	p.Return(at(5), ticket.ID)
	require.Empty(t, p.Return(at(5), ticket.ID))
	require.Empty(t, p.Tickets())
	require.True(t, evicts(p, at(6)))
}

func TestTicketThatItsEntryDoesNotKnowEndsWhenItCannotBeOnItsWay(t *testing.T) {
	const granted = 3
	for _, row := range []struct {
		name string
		now  int
		uses bool
		left int
	}{
		{"it may be on its way", granted + 9_999, false, 1},
		{"it cannot", granted + 10_000, false, 0},
		{"the entry uses it", granted + 10_000, true, 1},
	} {
		p, ticket := running(t)
		var uses []fleet.TicketUse
		if row.uses {
			uses = []fleet.TicketUse{{Ticket: ticket, Request: fleet.Request{ID: "q1"}}}
		}
		p.Reconfirm(at(row.now), "i3", nil, 10*time.Second)
		require.Len(t, p.Tickets(), 1, "another entry's list says nothing of it")
		p.Reconfirm(at(row.now), "i2", uses, 10*time.Second)
		p.Reconfirm(at(row.now), "i2", uses, 10*time.Second)
		require.Len(t, p.Tickets(), row.left, row.name)
	}
}

func TestTicketsOfALostEntryAreKeptUntilTheEndpointShowsTheirEnd(t *testing.T) {
	for _, row := range []struct {
		name  string
		fence uint64
		list  placement.Inspection
		left  int
	}{
		{"idle under the fence of the ticket", 1, list(20, ref("a")), 1},
		{"idle under a newer fence", 2, list(20, ref("a")), 0},
		{"running under a newer fence", 2, placement.Inspection{
			Endpoint: "e1", Incarnation: "e1-1", Began: at(20), Up: true, Resident: []fleet.AdapterRef{ref("a")}, Running: []fleet.AdapterRef{ref("a")},
		}, 1},
	} {
		p, _ := running(t)
		require.Len(t, only[placement.Retake](p.EntryLost(at(10), "i2")), 1, "under a new fence nothing of it can start")
		require.Empty(t, p.EntryLost(at(11), "i2"), "a repeated loss")
		p.Adopt(at(21), row.list, row.fence, at(21))
		require.Len(t, p.Tickets(), row.left, row.name)
	}
}

func TestWithoutFencesALostEntrysTicketEndsOnceItCannotStart(t *testing.T) {
	const lost, startWithin = 10, 2_000
	for _, row := range []struct{ began, left int }{{lost + startWithin, 1}, {lost + startWithin + 1, 0}} {
		e := endpoint(1)
		e.ChecksFence = false
		p := newPlacer(e)
		p.Inspected(at(2), list(1, ref("a")))
		p.Submit(at(3), request("q1", "a"))
		require.Empty(t, only[placement.Retake](p.EntryLost(at(lost), "i1")))
		p.Inspected(at(row.began+1), list(row.began, ref("a")))
		require.Len(t, p.Tickets(), row.left, "list begun at %d", row.began)
	}
}

// TestTicketOfASilentEntryIsThatOfALostOne has an entry of another hall, whose loss nobody tells.
func TestTicketOfASilentEntryIsThatOfALostOne(t *testing.T) {
	const granted, silence, named = 3, 600_000, 300_000
	for _, row := range []struct {
		name  string
		now   int
		names bool
		left  int
	}{
		{"at the end of the silence", granted + silence, false, 1},
		{"after it", granted + silence + 1, false, 0},
		{"at the end of the silence since it was named", named + silence, true, 1},
		{"after that", named + silence + 1, true, 0},
	} {
		p, ticket := running(t)
		if row.names {
			p.Reconfirm(at(named), "i2", []fleet.TicketUse{{Ticket: ticket, Request: fleet.Request{ID: "q1"}}}, 10*time.Second)
		}
		retakes := only[placement.Retake](p.Tick(at(row.now)))
		require.Len(t, retakes, 1-row.left, row.name)
		p.Adopt(at(row.now+2), list(row.now+1, ref("a")), 2, at(row.now+2))
		require.Len(t, p.Tickets(), row.left, row.name)
	}
}

// TestTicketThatItsEntryNamesAgainIsKept cuts an entry off for longer than it may be silent.
func TestTicketThatItsEntryNamesAgainIsKept(t *testing.T) {
	p, ticket := running(t)
	uses := []fleet.TicketUse{{Ticket: ticket, Request: fleet.Request{ID: "q1"}}}
	p.EntryLost(at(10), "i2")
	p.Reconfirm(at(20), "i2", uses, 10*time.Second)
	p.Adopt(at(22), list(21, ref("a")), 2, at(22))
	require.Len(t, p.Tickets(), 1, "the entry uses it")
	later := at(20)
	for range 1000 {
		later = later.Add(2 * time.Second)
		p.Reconfirm(later, "i2", uses, 10*time.Second)
		p.Tick(later)
	}
	require.Len(t, p.Tickets(), 1)
	p.Return(later, ticket.ID)
	require.Empty(t, p.Tickets())
}

func TestRequestsOfALostEntryWaitNoMore(t *testing.T) {
	p := newPlacer(endpoint(1))
	p.Submit(at(1), request("q1", "a"))
	p.EntryLost(at(2), "i1")
	require.Empty(t, p.Waiting())
}

func TestOneCustomersPartOfABatch(t *testing.T) {
	for _, row := range []struct{ batch, seats int }{{1, 1}, {2, 2}, {3, 2}, {4, 3}, {20, 17}} {
		e := endpoint(1)
		e.MaxBatch = row.batch
		p := newPlacer(e)
		p.Inspected(at(2), list(1, ref("a")))
		granted := 0
		for i := range row.batch + 1 {
			granted += grants(p.Submit(at(3), request("q"+strconv.Itoa(i), "a")))
		}
		require.Equal(t, row.seats, granted, "batch of %d", row.batch)
	}
}

func TestEndpointThatLeavesOrIsDrainedGetsNoNewWork(t *testing.T) {
	p := newPlacer(endpoint(1))
	p.Inspected(at(2), list(1, ref("a")))
	for i, stop := range []func(bool) []placement.Effect{
		func(on bool) []placement.Effect { return p.SetLeaving(at(3), "e1", on) },
		func(on bool) []placement.Effect { return p.SetDrained(at(3), "e1", on) },
	} {
		require.Empty(t, stop(false))
		require.Len(t, only[placement.Note](stop(true)), 1)
		require.Empty(t, stop(true), "a repeated look changes nothing")
		require.Equal(t, fleet.ReasonNoEndpoint, refusal(p.Submit(at(3), request("r"+strconv.Itoa(i), "a"))))
		stop(false)
		require.Equal(t, 1, grants(p.Submit(at(3), request("q"+strconv.Itoa(i), "a"))))
	}
}
