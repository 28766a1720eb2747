// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what a step does.
type Kind string

// The kinds of step. Those of instances and endpoints strike the one that Target numbers.
const (
	// Stop asks an instance to stop and starts it again; StopTwice sends the signal once more during the stop; StopEarly right after
	// it has started again. Hangup sends SIGHUP, HangupEarly also right after a start that follows a stop.
	Stop        Kind = "stop"
	StopTwice   Kind = "stop-twice"
	StopEarly   Kind = "stop-early"
	Hangup      Kind = "hangup"
	HangupEarly Kind = "hangup-early"
	// Kill kills an instance and starts it again; Freeze stands it still for a time.
	Kill   Kind = "kill"
	Freeze Kind = "freeze"
	// AddRoute, RemoveRoute, SetIdle and SetTimeouts change the configuration; Name names a newer version of an adapter.
	AddRoute    Kind = "add-route"
	RemoveRoute Kind = "remove-route"
	SetIdle     Kind = "set-idle"
	SetTimeouts Kind = "set-timeouts"
	Name        Kind = "name"
	// The following strike an endpoint: it breaks off Count streams, resets, refuses or fails Count requests, answers Count twice,
	// hangs on Count; it leaves with or without a notice and another one comes; it is killed and another one comes; it stands still.
	EndpointBreaks   Kind = "endpoint-breaks"
	EndpointResets   Kind = "endpoint-resets"
	EndpointSheds    Kind = "endpoint-sheds"
	EndpointErrors   Kind = "endpoint-errors"
	EndpointTwice    Kind = "endpoint-twice"
	EndpointHangs    Kind = "endpoint-hangs"
	EndpointDrains   Kind = "endpoint-drains"
	EndpointVanishes Kind = "endpoint-vanishes"
	EndpointKilled   Kind = "endpoint-killed"
	EndpointFreezes  Kind = "endpoint-freezes"
	EndpointQueues   Kind = "endpoint-queues"
	// The following have an endpoint say of itself, in each answer: that it takes Count halves of a request a second; that it leaves, while
	// its entry says otherwise; that it wants to rest, as it turns requests away.
	EndpointLimits      Kind = "endpoint-limits"
	EndpointSaysLeaving Kind = "endpoint-says-leaving"
	EndpointRests       Kind = "endpoint-rests"
	// The following have open connections to an endpoint fall silent for good, or close them.
	EndpointLinksSilent Kind = "endpoint-links-silent"
	EndpointLinksReset  Kind = "endpoint-links-reset"
	// The following strike the link of an instance to the store: it is slow, passes nothing, passes nothing back, or is reset.
	LinkSlow  Kind = "link-slow"
	LinkCut   Kind = "link-cut"
	LinkDeaf  Kind = "link-deaf"
	LinkReset Kind = "link-reset"
	// The following strike the store.
	StoreDown        Kind = "store-down"
	StoreSilent      Kind = "store-silent"
	StoreLosesWrites Kind = "store-loses-writes"
	StoreLateWrites  Kind = "store-late-writes"
	StoreForgets     Kind = "store-forgets"
	StoreRevokes     Kind = "store-revokes"
	StoreLinksSilent Kind = "store-links-silent"
	StoreFreezes     Kind = "store-freezes"
	StoreThrottles   Kind = "store-throttles"
	// Busy keeps Count processes of the host busy.
	Busy Kind = "busy"
)

// Step is one thing that is done.
type Step struct {
	At     time.Duration `json:"at"`
	Kind   Kind          `json:"kind"`
	Target int           `json:"target"`
	For    time.Duration `json:"for,omitempty"`
	Count  int           `json:"count,omitempty"`
}

// Options are the size of a soak.
type Options struct {
	Span                 time.Duration
	Instances, Endpoints int
	// Only are the kinds that may be drawn; none allows all.
	Only []Kind
}

// share is a kind and how often it is drawn.
type share struct {
	kind   Kind
	weight int
	// longest bounds For, most bounds Count.
	longest time.Duration
	most    int
}

// shares are all kinds. What real platforms do often is drawn often.
var shares = []share{
	{kind: Stop, weight: 12}, {kind: StopTwice, weight: 4}, {kind: StopEarly, weight: 2}, {kind: Hangup, weight: 8},
	{kind: HangupEarly, weight: 3}, {kind: Kill, weight: 3}, {kind: Freeze, weight: 4, longest: 2500 * time.Millisecond},
	{kind: AddRoute, weight: 4}, {kind: RemoveRoute, weight: 2}, {kind: SetIdle, weight: 6}, {kind: SetTimeouts, weight: 4}, {kind: Name, weight: 4},
	{kind: EndpointBreaks, weight: 6, most: 3}, {kind: EndpointResets, weight: 3, most: 4}, {kind: EndpointSheds, weight: 3, most: 10},
	{kind: EndpointErrors, weight: 2, most: 4}, {kind: EndpointTwice, weight: 2, most: 3}, {kind: EndpointHangs, weight: 1, most: 2},
	{kind: EndpointDrains, weight: 3}, {kind: EndpointVanishes, weight: 2}, {kind: EndpointKilled, weight: 2},
	{kind: EndpointFreezes, weight: 2, longest: 2 * time.Second}, {kind: EndpointQueues, weight: 2, longest: 2 * time.Second},
	{kind: EndpointLinksSilent, weight: 2}, {kind: EndpointLinksReset, weight: 2},
	{kind: LinkSlow, weight: 2, longest: 4 * time.Second}, {kind: LinkCut, weight: 3, longest: 4 * time.Second},
	{kind: LinkDeaf, weight: 2, longest: 4 * time.Second}, {kind: LinkReset, weight: 2},
	{kind: StoreDown, weight: 2, longest: 4 * time.Second}, {kind: StoreSilent, weight: 2, longest: 4 * time.Second},
	{kind: StoreLosesWrites, weight: 2, most: 3}, {kind: StoreLateWrites, weight: 1, most: 2}, {kind: StoreForgets, weight: 2},
	{kind: StoreRevokes, weight: 1}, {kind: StoreLinksSilent, weight: 2}, {kind: StoreFreezes, weight: 1, longest: 2 * time.Second},
	{kind: StoreThrottles, weight: 1, longest: 3 * time.Second}, {kind: Busy, weight: 1, longest: 6 * time.Second, most: 6},
}

// notices are the kinds in which endpoints say something of themselves. They are drawn apart, so that a seed draws the same other steps
// with them and without.
var notices = []share{
	{kind: EndpointLimits, weight: 4, longest: 12 * time.Second, most: 8}, {kind: EndpointSaysLeaving, weight: 2},
	{kind: EndpointRests, weight: 3, longest: 8 * time.Second, most: 6},
}

const (
	// noticeGap is the mean pause between two steps of notices.
	noticeGap = 1500 * time.Millisecond
	// noticeStream is the sequence of random numbers of notices.
	noticeStream = 1 << 40
	// quietBegin and quietEnd are kept free of steps, so that caches fill first and the last trouble's effect shows.
	quietBegin = 3 * time.Second
	quietEnd   = 10 * time.Second
	// meanGap is the mean pause between steps; seriesGap that of a series, mostSeries the longest series.
	meanGap    = 900 * time.Millisecond
	seriesGap  = 400 * time.Millisecond
	mostSeries = 5
	// seriesShare is how many of so many draws are a series of one kind over several targets.
	seriesShare = 5
)

// Draw draws a plan, in the order of its moments.
func Draw(seed uint64, o Options) []Step {
	return drawSteps(rand.New(rand.NewPCG(seed, uint64(o.Span))), allowedShares(o.Only), meanGap, o)
}

// DrawNotices draws what endpoints say of themselves, in the order of its moments.
func DrawNotices(seed uint64, o Options) []Step {
	return drawSteps(rand.New(rand.NewPCG(seed, noticeStream+uint64(o.Span))), notices, noticeGap, o)
}

// Merge joins two plans in the order of their moments.
func Merge(one, other []Step) []Step {
	all := slices.Concat(one, other)
	slices.SortStableFunc(all, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return all
}

func drawSteps(random *rand.Rand, allowed []share, gap time.Duration, o Options) []Step {
	if len(allowed) == 0 {
		return nil
	}
	var steps []Step
	for at := quietBegin; at < o.Span-quietEnd; at += time.Duration(random.ExpFloat64() * float64(gap)) {
		drawn := draw(random, allowed)
		count := 1
		if random.IntN(seriesShare) == 0 {
			count += random.IntN(mostSeries)
		}
		for i := range count {
			step := drawn.step(random, o)
			step.At = at + time.Duration(i)*time.Duration(random.Float64()*float64(seriesGap))
			steps = append(steps, step)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

func allowedShares(only []Kind) []share {
	if len(only) == 0 {
		return shares
	}
	var allowed []share
	for _, one := range shares {
		if slices.Contains(only, one.kind) {
			allowed = append(allowed, one)
		}
	}
	return allowed
}

func draw(random *rand.Rand, allowed []share) share {
	sum := 0
	for _, one := range allowed {
		sum += one.weight
	}
	at := random.IntN(sum)
	for _, one := range allowed {
		if at -= one.weight; at < 0 {
			return one
		}
	}
	return allowed[0]
}

func (s share) step(random *rand.Rand, o Options) Step {
	step := Step{Kind: s.kind, Target: random.IntN(o.Instances)}
	if s.strikesEndpoint() {
		step.Target = random.IntN(o.Endpoints)
	}
	if s.longest > 0 {
		step.For = time.Duration(random.Float64() * float64(s.longest)).Round(time.Millisecond)
	}
	if s.most > 0 {
		step.Count = 1 + random.IntN(s.most)
	}
	return step
}

// strikesEndpoint reports whether the target is an endpoint.
func (s share) strikesEndpoint() bool {
	const prefix = "endpoint-"
	return len(s.kind) > len(prefix) && s.kind[:len(prefix)] == prefix
}

// Kinds gives all kinds, in the order of the shares.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(shares))
	for _, one := range shares {
		kinds = append(kinds, one.kind)
	}
	return kinds
}
