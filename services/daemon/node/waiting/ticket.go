// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package waiting

import (
	"cmp"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Verdict is what to do with a grant.
type Verdict string

// The verdicts.
const (
	// Use runs the request with the ticket.
	Use Verdict = "use"
	// Return gives the ticket back: no request waits for it.
	Return Verdict = "return"
	// Repeated does nothing: the ticket is in use already.
	Repeated Verdict = "repeated"
	// TooOld does nothing but ask again: the placer may have dropped the ticket by now.
	TooOld Verdict = "too old"
)

// Grant is what an instance knows of a grant that has come.
type Grant struct {
	// InUse is true where the ticket is in use here.
	InUse bool
	// Awaited is true where the request waits, in the attempt that the grant names.
	Awaited bool
	// Age is the time since the instance sent the stamp that the grant echoes, by its own
	// clock, and Limit the greatest age of a grant that is used.
	Age, Limit time.Duration
	// AcceptOld is a seeded fault, for the proof that the tests find it.
	AcceptOld bool
}

// Judge decides whether a grant is used.
func Judge(g Grant) Verdict {
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

// Uses are the tickets in use by this instance, by their names.
type Uses struct {
	byID map[string]fleet.TicketUse
}

// NewUses makes an empty list.
func NewUses() Uses {
	return Uses{byID: make(map[string]fleet.TicketUse)}
}

// Add enters a ticket with its request.
func (u Uses) Add(t fleet.Ticket, r fleet.Request) {
	u.byID[t.ID] = fleet.TicketUse{Ticket: t, Request: r}
}

// Has tells whether a ticket is in use.
func (u Uses) Has(ticketID string) bool {
	_, ok := u.byID[ticketID]
	return ok
}

// Remove takes a ticket out; it reports false for one that is not in use, or not any more.
func (u Uses) Remove(ticketID string) (fleet.Ticket, bool) {
	use, ok := u.byID[ticketID]
	delete(u.byID, ticketID)
	return use.Ticket, ok
}

// Empty tells whether no ticket is in use.
func (u Uses) Empty() bool {
	return len(u.byID) == 0
}

// OfPool lists the tickets of a pool that are in use, by their names.
func (u Uses) OfPool(pool string) []fleet.TicketUse {
	var out []fleet.TicketUse
	for _, use := range u.byID {
		if use.Ticket.Pool == pool {
			out = append(out, use)
		}
	}
	slices.SortFunc(out, func(a, b fleet.TicketUse) int { return cmp.Compare(a.Ticket.ID, b.Ticket.ID) })
	return out
}
