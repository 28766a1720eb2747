// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/fleet"
	"github.com/shelfledge/shelfledge/services/budget"
	"github.com/shelfledge/shelfledge/services/membership"
	"github.com/shelfledge/shelfledge/services/placement"
	"github.com/shelfledge/shelfledge/services/routing"
)

// Options are the settings of a node.
type Options struct {
	Self fleet.Instance
	// Boot tells this life of the instance from earlier ones and grows with them.
	Boot       uint64
	Halls      []string
	Endpoints  []fleet.Endpoint
	Classes    []fleet.Class
	Placement  placement.Options
	Routing    routing.Options
	Membership membership.Options
	Budget     budget.Limits
	Timing     Timing
	// Defects are seeded faults, for the proof that the tests find them.
	Defects Defects
}

// Timing holds the intervals and limits of the joint action of nodes.
type Timing struct {
	// Resubmit is the time after which an unanswered request is asked for again.
	Resubmit time.Duration
	// NoPlacer is the longest that a request waits for a pool without a placer.
	NoPlacer time.Duration
	// GrantAge is the greatest age of a grant that an entry accepts, by its own clock.
	GrantAge time.Duration
	// Reconfirm is the time between two full lists of tickets in use.
	Reconfirm time.Duration
	// Inspect is the time between two looks at an endpoint's own list.
	Inspect time.Duration
	// TakeRetry is the time after which a takeover order is repeated.
	TakeRetry time.Duration
	// Digest is the time between two digests to another hall.
	Digest time.Duration
	// FullSummary is the time between two whole summaries to another hall.
	FullSummary time.Duration
	// HallSilence is the silence after which another hall counts as cut off.
	HallSilence time.Duration
	// LeaseTTL, LeaseMargin and LeaseRenew govern orders to endpoints that check no fences.
	LeaseTTL    time.Duration
	LeaseMargin time.Duration
	LeaseRenew  time.Duration
	// Bid is the time between two bids of a pool for load permits.
	Bid time.Duration
	// PermitLife is the time after which a permit not given back is forgotten.
	PermitLife time.Duration
	// RecoveryDelay spreads the bids after a restart of many endpoints; zero for none.
	RecoveryDelay time.Duration
}

// DefaultTiming gives the timings in use where the settings file is silent.
func DefaultTiming() Timing {
	return Timing{
		Resubmit: time.Second, NoPlacer: 5 * time.Second, GrantAge: 3 * time.Second, Reconfirm: 2 * time.Second,
		Inspect: 500 * time.Millisecond, TakeRetry: time.Second, Digest: 250 * time.Millisecond, FullSummary: 30 * time.Second,
		HallSilence: 3 * time.Second, LeaseTTL: 10 * time.Second, LeaseMargin: 3 * time.Second, LeaseRenew: 3 * time.Second,
		Bid: 20 * time.Millisecond, PermitLife: 45 * time.Second,
	}
}

// Defects are faults that a test can switch on to show that its oracle finds them.
type Defects struct {
	// UnloadWithoutTickets lets a placer evict an adapter that is in use.
	UnloadWithoutTickets bool
	// AcceptOldGrants lets an entry use a grant of any age, or a second one.
	AcceptOldGrants bool
	// AcceptLowerRevision lets a configuration go back.
	AcceptLowerRevision bool
	// IgnoreLeaving sends new work to endpoints that leave.
	IgnoreLeaving bool
	// SkipFreeze unloads on endpoints without fences before former grants have ended.
	SkipFreeze bool
	// OrderAfterLapse orders on endpoints without fences although the lease has lapsed.
	OrderAfterLapse bool
}
