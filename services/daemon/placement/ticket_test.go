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

// placerWithTicket returns a placer with one slot that holds adapter a, and the ticket of a request of instance i2 for it.
func placerWithTicket(t *testing.T) (*placement.Placer, fleet.Ticket) {
	t.Helper()
	p := newPlacer(endpoint(1))
	p.HandleInspection(at(2), inspection(1, ref("a")))
	r := request("q1", "a")
	r.Entry = "i2"
	granted := effectsOfType[placement.Grant](p.Submit(at(3), r))
	require.Len(t, granted, 1)
	return p, granted[0].Ticket
}

// canEvict reports whether adapter a can be evicted for another adapter.
func canEvict(p *placement.Placer, now time.Time) bool {
	p.Submit(now, request("other", "b"))
	_, used := p.UsePermit(now)
	return used
}

func TestReturnedTicketFreesSlotOnce(t *testing.T) {
	p, ticket := placerWithTicket(t)
	require.False(t, canEvict(p, at(4)))
	p.ReturnTicket(at(5), ticket.ID)
	require.Empty(t, p.ReturnTicket(at(5), ticket.ID))
	require.Empty(t, p.Tickets())
	require.True(t, canEvict(p, at(6)))
}

func TestTicketUnknownToItsEntryEndsWhenGrantIsTooOld(t *testing.T) {
	const granted = 3
	for _, row := range []struct {
		name string
		now  int
		uses bool
		left int
	}{
		{"grant may be in transit", granted + 9_999, false, 1},
		{"grant cannot be in transit", granted + 10_000, false, 0},
		{"entry uses the ticket", granted + 10_000, true, 1},
	} {
		p, ticket := placerWithTicket(t)
		var uses []fleet.TicketUse
		if row.uses {
			uses = []fleet.TicketUse{{Ticket: ticket, Request: fleet.Request{ID: "q1"}}}
		}
		p.ReconcileTickets(at(row.now), "i3", nil, 10*time.Second)
		require.Len(t, p.Tickets(), 1, "the report of another entry does not affect the ticket")
		p.ReconcileTickets(at(row.now), "i2", uses, 10*time.Second)
		p.ReconcileTickets(at(row.now), "i2", uses, 10*time.Second)
		require.Len(t, p.Tickets(), row.left, row.name)
	}
}

func TestTicketsOfLostEntryAreKeptUntilInspectionShowsTheirEnd(t *testing.T) {
	for _, row := range []struct {
		name       string
		fence      uint64
		inspection placement.Inspection
		left       int
	}{
		{"idle under the fence of the ticket", 1, inspection(20, ref("a")), 1},
		{"idle under a newer fence", 2, inspection(20, ref("a")), 0},
		{"running under a newer fence", 2, placement.Inspection{
			Endpoint: "e1", Incarnation: "e1-1", StartedAt: at(20), Up: true, Resident: []fleet.AdapterRef{ref("a")}, Running: []fleet.AdapterRef{ref("a")},
		}, 1},
	} {
		p, _ := placerWithTicket(t)
		require.Len(t, effectsOfType[placement.RepeatTakeover](p.HandleEntryLoss(at(10), "i2")), 1, "under a new fence no request of the lost entry can start")
		require.Empty(t, p.HandleEntryLoss(at(11), "i2"), "a repeated report of the loss has no effect")
		p.TakeOverEndpoint(at(21), row.inspection, row.fence, at(21))
		require.Len(t, p.Tickets(), row.left, row.name)
	}
}

func TestTicketOfLostEntryWithoutFencesEndsAfterStartWithin(t *testing.T) {
	const lost, startWithin = 10, 2_000
	for _, row := range []struct{ began, left int }{{lost + startWithin, 1}, {lost + startWithin + 1, 0}} {
		e := endpoint(1)
		e.ChecksFence = false
		p := newPlacer(e)
		p.HandleInspection(at(2), inspection(1, ref("a")))
		p.Submit(at(3), request("q1", "a"))
		require.Empty(t, effectsOfType[placement.RepeatTakeover](p.HandleEntryLoss(at(lost), "i1")))
		p.HandleInspection(at(row.began+1), inspection(row.began, ref("a")))
		require.Len(t, p.Tickets(), row.left, "inspection began at %d", row.began)
	}
}

// TestUnconfirmedTicketIsTreatedAsOrphaned covers an entry of another hall, whose loss is not reported to the placer.
func TestUnconfirmedTicketIsTreatedAsOrphaned(t *testing.T) {
	const granted, ticketTTL, confirmed = 3, 600_000, 300_000
	for _, row := range []struct {
		name     string
		now      int
		confirms bool
		left     int
	}{
		{"at the limit after the grant", granted + ticketTTL, false, 1},
		{"past the limit after the grant", granted + ticketTTL + 1, false, 0},
		{"at the limit after the confirmation", confirmed + ticketTTL, true, 1},
		{"past the limit after the confirmation", confirmed + ticketTTL + 1, true, 0},
	} {
		p, ticket := placerWithTicket(t)
		if row.confirms {
			p.ReconcileTickets(at(confirmed), "i2", []fleet.TicketUse{{Ticket: ticket, Request: fleet.Request{ID: "q1"}}}, 10*time.Second)
		}
		takeovers := effectsOfType[placement.RepeatTakeover](p.Tick(at(row.now)))
		require.Len(t, takeovers, 1-row.left, row.name)
		p.TakeOverEndpoint(at(row.now+2), inspection(row.now+1, ref("a")), 2, at(row.now+2))
		require.Len(t, p.Tickets(), row.left, row.name)
	}
}

// TestTicketConfirmedAgainByItsEntryIsKept lets an entry that was reported as lost confirm its ticket again, then confirm it
// every 2 s for longer than TicketTTL.
func TestTicketConfirmedAgainByItsEntryIsKept(t *testing.T) {
	p, ticket := placerWithTicket(t)
	uses := []fleet.TicketUse{{Ticket: ticket, Request: fleet.Request{ID: "q1"}}}
	p.HandleEntryLoss(at(10), "i2")
	p.ReconcileTickets(at(20), "i2", uses, 10*time.Second)
	p.TakeOverEndpoint(at(22), inspection(21, ref("a")), 2, at(22))
	require.Len(t, p.Tickets(), 1, "the entry uses the ticket")
	later := at(20)
	for range 1000 {
		later = later.Add(2 * time.Second)
		p.ReconcileTickets(later, "i2", uses, 10*time.Second)
		p.Tick(later)
	}
	require.Len(t, p.Tickets(), 1)
	p.ReturnTicket(later, ticket.ID)
	require.Empty(t, p.Tickets())
}

func TestQueuedRequestsOfLostEntryAreRemoved(t *testing.T) {
	p := newPlacer(endpoint(1))
	p.Submit(at(1), request("q1", "a"))
	p.HandleEntryLoss(at(2), "i1")
	require.Empty(t, p.Waiting())
}

func TestCustomerShareOfBatch(t *testing.T) {
	for _, row := range []struct{ batch, seats int }{{1, 1}, {2, 2}, {3, 2}, {4, 3}, {20, 17}} {
		e := endpoint(1)
		e.MaxBatch = row.batch
		p := newPlacer(e)
		p.HandleInspection(at(2), inspection(1, ref("a")))
		granted := 0
		for i := range row.batch + 1 {
			granted += countGrants(p.Submit(at(3), request("q"+strconv.Itoa(i), "a")))
		}
		require.Equal(t, row.seats, granted, "batch of %d", row.batch)
	}
}

func TestLeavingOrDrainedEndpointGetsNoNewRequests(t *testing.T) {
	p := newPlacer(endpoint(1))
	p.HandleInspection(at(2), inspection(1, ref("a")))
	for i, stop := range []func(bool) []placement.Effect{
		func(on bool) []placement.Effect { return p.SetLeaving(at(3), "e1", on) },
		func(on bool) []placement.Effect { return p.SetDrained(at(3), "e1", on) },
	} {
		require.Empty(t, stop(false))
		require.Len(t, effectsOfType[placement.RecordEvent](stop(true)), 1)
		require.Empty(t, stop(true), "setting the same state again has no effect")
		require.Equal(t, fleet.ReasonNoEndpoint, refusalReason(p.Submit(at(3), request("r"+strconv.Itoa(i), "a"))))
		stop(false)
		require.Equal(t, 1, countGrants(p.Submit(at(3), request("q"+strconv.Itoa(i), "a"))))
	}
}
