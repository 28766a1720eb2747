// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package waiting

import (
	"cmp"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Verdict is the decision about a received grant.
type Verdict string

// The verdicts.
const (
	// Use runs the request with the ticket.
	Use Verdict = "use"
	// Return returns the ticket to the placer, since no request waits for it.
	Return Verdict = "return"
	// Repeated ignores the grant, since the ticket is in use already.
	Repeated Verdict = "repeated"
	// TooOld ignores the grant and submits the request again, since the placer may have dropped the ticket by now.
	TooOld Verdict = "too old"
)

// GrantState is the state on which the decision about a received grant depends.
type GrantState struct {
	// InUse is true if the ticket is in use by this instance.
	InUse bool
	// Awaited is true if the request is waiting, in the attempt of the grant.
	Awaited bool
	// Age is the time, by the instance's own clock, since it sent the stamp that the grant echoes.
	// Limit is the maximum age of a grant that is used.
	Age, Limit time.Duration
	// AcceptOld is a seeded fault. Tests enable it to verify that their checks detect it.
	AcceptOld bool
}

// DecideGrant decides whether a grant is used.
func DecideGrant(g GrantState) Verdict {
	switch {
	case g.InUse:
		return Repeated
	case g.AcceptOld:
		return Use
	case !g.Awaited:
		return Return
	case g.Age > g.Limit:
		return TooOld
	}
	return Use
}

// TicketUses are the tickets in use by this instance, by identifier.
type TicketUses struct {
	byID map[string]fleet.TicketUse
}

// NewTicketUses returns an empty set.
func NewTicketUses() TicketUses {
	return TicketUses{byID: make(map[string]fleet.TicketUse)}
}

// Add adds a ticket with its request.
func (u TicketUses) Add(t fleet.Ticket, r fleet.Request) {
	u.byID[t.ID] = fleet.TicketUse{Ticket: t, Request: r}
}

// Has reports whether a ticket is in use.
func (u TicketUses) Has(ticketID string) bool {
	_, ok := u.byID[ticketID]
	return ok
}

// Remove removes a ticket and returns it. It returns false if the ticket is not in use.
func (u TicketUses) Remove(ticketID string) (fleet.Ticket, bool) {
	use, ok := u.byID[ticketID]
	delete(u.byID, ticketID)
	return use.Ticket, ok
}

// Empty reports whether no ticket is in use.
func (u TicketUses) Empty() bool {
	return len(u.byID) == 0
}

// OfPool returns the tickets in use of a pool, sorted by identifier.
func (u TicketUses) OfPool(pool string) []fleet.TicketUse {
	var out []fleet.TicketUse
	for _, use := range u.byID {
		if use.Ticket.Pool == pool {
			out = append(out, use)
		}
	}
	slices.SortFunc(out, func(a, b fleet.TicketUse) int { return cmp.Compare(a.Ticket.ID, b.Ticket.ID) })
	return out
}
