// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/budget"
	"github.com/shelfledge/shelfledge/services/daemon/membership"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
	"github.com/shelfledge/shelfledge/services/daemon/routing"
)

// Options are the settings of a node.
type Options struct {
	Self fleet.Instance
	// Boot identifies this run of the instance. It increases with each restart.
	Boot       uint64
	Halls      []string
	Endpoints  []fleet.Endpoint
	Classes    []fleet.Class
	Placement  placement.Options
	Routing    routing.Options
	Membership membership.Options
	Budget     budget.Limits
	Timing     Timing
	// Defects are seeded faults. Tests enable them to verify that their checks detect them.
	Defects Defects
}

// Timing holds the intervals and time limits of the protocol between nodes.
type Timing struct {
	// Resubmit is the time after which an unanswered ticket request is submitted again.
	Resubmit time.Duration
	// MaxPlacerWait is the maximum time that a request waits for a pool without a placer.
	MaxPlacerWait time.Duration
	// GrantAge is the maximum age, by the entry's own clock, of a grant that the entry accepts.
	GrantAge time.Duration
	// TicketReportInterval is the interval at which an entry sends placers the full list of its tickets in use.
	TicketReportInterval time.Duration
	// InspectionInterval is the interval between two inspections of an endpoint.
	InspectionInterval time.Duration
	// TakeoverRetry is the time after which an unanswered takeover order to an endpoint is repeated.
	TakeoverRetry time.Duration
	// DigestInterval is the interval between two digests to another hall.
	DigestInterval time.Duration
	// FullSummaryInterval is the interval between two digests with full pool summaries.
	FullSummaryInterval time.Duration
	// HallSilence is the time without a digest after which another hall counts as cut off.
	HallSilence time.Duration
	// LeaseTTL, LeaseMargin and LeaseRenew limit the time during which orders may be sent to endpoints that check no fences.
	LeaseTTL    time.Duration
	LeaseMargin time.Duration
	LeaseRenew  time.Duration
	// BidInterval is the interval between two bids of a pool for load permits.
	BidInterval time.Duration
	// PermitLife is the time after which a permit that was not returned expires.
	PermitLife time.Duration
	// RecoveryDelay is the time over which the first bids after takeovers are spread; zero disables it.
	RecoveryDelay time.Duration
}

// Defaults for timings that the settings file does not set.
const (
	// defaultResubmit: a longer time leaves a request idle longer after a lost message; a shorter one repeats submissions whose answers
	// are only late.
	defaultResubmit = time.Second
	// defaultMaxPlacerWait: a longer time lets a request survive the takeover of a pool (1.2 s median after the loss of an instance in a hall
	// of 3, docs/capacity-shelfledged.md); a shorter one refuses the request sooner.
	defaultMaxPlacerWait = 5 * time.Second
	// defaultGrantAge: a longer time accepts grants that arrive later; a shorter one lets a successor unload sooner (docs/design/0002,
	// endpoints that check no fences, 3).
	defaultGrantAge = 3 * time.Second
	// defaultTicketReportInterval: a longer interval sends less; a shorter one frees a slot sooner after a ticket's return was lost.
	defaultTicketReportInterval = 2 * time.Second
	// defaultInspectionInterval: a longer interval puts less load on an endpoint; a shorter one detects its restart and the state of its slots sooner.
	defaultInspectionInterval = 500 * time.Millisecond
	// defaultTakeoverRetry: a longer time leaves an endpoint without a placer longer after a lost order; a shorter one sends more orders to
	// an endpoint that is slow to answer.
	defaultTakeoverRetry = time.Second
	// defaultDigestInterval: a longer interval sends less; a shorter one shows other halls the slots sooner. The bytes sent at this value are in
	// docs/capacity-shelfledged.md, slopes (speaker, member).
	defaultDigestInterval = 250 * time.Millisecond
	// defaultFullSummaryInterval: a longer interval sends less; a shorter one corrects sooner lost changes whose loss the receiver did not detect.
	defaultFullSummaryInterval = 30 * time.Second
	// defaultHallSilence: a longer time keeps sending requests to a hall that is cut off; a shorter one marks a reachable hall as cut off
	// after a few lost digests. Digests without changes are one second apart.
	defaultHallSilence = 3 * time.Second
	// defaultLeaseTTL: a longer time delays the successor of a lost instance; a shorter one lets the lease lapse in a short outage of the
	// key-value service.
	defaultLeaseTTL = 10 * time.Second
	// defaultLeaseMargin: a longer margin stops orders sooner; a shorter one relies on orders arriving sooner after they were sent
	// (assumption A1 of docs/design/0002).
	defaultLeaseMargin = 3 * time.Second
	// defaultLeaseRenew: a longer interval writes less (1.2 writes a second with 6 daemons and 3 pools with endpoints that check no fences,
	// docs/capacity-shelfledged.md); a shorter one survives more lost renewals.
	defaultLeaseRenew = 3 * time.Second
	// defaultBidInterval: a longer interval compares the pools' demands less often; a shorter one starts a load sooner.
	defaultBidInterval = 20 * time.Millisecond
	// defaultPermitLife: a longer time keeps a place at the weight store occupied longer after a lost message; a shorter one reuses the
	// place while a load still runs. It must exceed the load's timeout.
	defaultPermitLife = 45 * time.Second
)

// DefaultTiming returns the timings that apply where the settings file sets none.
func DefaultTiming() Timing {
	return Timing{
		Resubmit: defaultResubmit, MaxPlacerWait: defaultMaxPlacerWait, GrantAge: defaultGrantAge, TicketReportInterval: defaultTicketReportInterval,
		InspectionInterval: defaultInspectionInterval, TakeoverRetry: defaultTakeoverRetry, DigestInterval: defaultDigestInterval, FullSummaryInterval: defaultFullSummaryInterval,
		HallSilence: defaultHallSilence, LeaseTTL: defaultLeaseTTL, LeaseMargin: defaultLeaseMargin, LeaseRenew: defaultLeaseRenew,
		BidInterval: defaultBidInterval, PermitLife: defaultPermitLife,
	}
}

// Defects are faults that a test can enable to verify that its oracle detects them.
type Defects struct {
	// UnloadWithoutTickets lets a placer evict an adapter that is in use.
	UnloadWithoutTickets bool
	// AcceptOldGrants lets an entry use a grant of any age, or a second grant for the same request.
	AcceptOldGrants bool
	// AcceptLowerRevision lets the node apply a configuration of a lower revision than the one in force.
	AcceptLowerRevision bool
	// IgnoreLeaving sends new requests to endpoints that are leaving.
	IgnoreLeaving bool
	// SkipFreeze allows unloading on endpoints without fences while grants of former owners may still be used.
	SkipFreeze bool
	// OrderAfterLapse allows orders to endpoints without fences after the lease has lapsed.
	OrderAfterLapse bool
}
