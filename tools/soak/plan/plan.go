// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
)

// Kind is the kind of a step.
type Kind string

// The kinds of step. A step on an instance or an endpoint affects the instance or endpoint with the number Target.
const (
	// Stop sends an instance the stop signal, after which it is restarted. StopTwice sends the signal again during the stop, and
	// StopEarly again shortly after the restart. Hangup sends SIGHUP. HangupEarly stops an instance and sends SIGHUP shortly after the
	// restart.
	Stop        Kind = "stop"
	StopTwice   Kind = "stop-twice"
	StopEarly   Kind = "stop-early"
	Hangup      Kind = "hangup"
	HangupEarly Kind = "hangup-early"
	// Kill kills an instance, after which it is restarted. Freeze suspends an instance for a time.
	Kill   Kind = "kill"
	Freeze Kind = "freeze"
	// AddRoute, RemoveRoute, SetIdle and SetTimeouts change the configuration. Name publishes a newer version of an adapter.
	AddRoute    Kind = "add-route"
	RemoveRoute Kind = "remove-route"
	SetIdle     Kind = "set-idle"
	SetTimeouts Kind = "set-timeouts"
	Name        Kind = "name"
	// The following kinds affect an endpoint. It breaks off Count streams; resets, sheds or fails Count requests; answers Count
	// requests twice; or hangs on Count requests. EndpointDrains and EndpointVanishes make it leave with and without an announcement,
	// EndpointKilled kills it; in all three cases another endpoint replaces it. EndpointFreezes suspends it for a time, and
	// EndpointQueues makes new requests wait before they begin.
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
	// The following kinds make an endpoint send a notice in its answers: that it accepts Count/2 requests a second; that it leaves, although
	// its entry in the store does not show that yet; or that it asks for a rest of Count/2 seconds, while it turns requests away.
	EndpointLimits      Kind = "endpoint-limits"
	EndpointSaysLeaving Kind = "endpoint-says-leaving"
	EndpointRests       Kind = "endpoint-rests"
	// EndpointEndless makes an endpoint send bytes of kind number Count without end in place of its answers.
	EndpointEndless Kind = "endpoint-endless"
	// EndpointReleased replaces an endpoint by one of a newer software version. It leaves with an announcement.
	EndpointReleased Kind = "endpoint-released"
	// The following kinds silence the open connections to an endpoint permanently, or close them.
	EndpointLinksSilent Kind = "endpoint-links-silent"
	EndpointLinksReset  Kind = "endpoint-links-reset"
	// The following kinds affect the link from an instance to the store: it is slow, forwards nothing, forwards nothing from the store,
	// or is reset.
	LinkSlow  Kind = "link-slow"
	LinkCut   Kind = "link-cut"
	LinkDeaf  Kind = "link-deaf"
	LinkReset Kind = "link-reset"
	// The following kinds affect the store.
	StoreDown        Kind = "store-down"
	StoreSilent      Kind = "store-silent"
	StoreLosesWrites Kind = "store-loses-writes"
	StoreLateWrites  Kind = "store-late-writes"
	StoreForgets     Kind = "store-forgets"
	StoreRevokes     Kind = "store-revokes"
	StoreLinksSilent Kind = "store-links-silent"
	StoreFreezes     Kind = "store-freezes"
	StoreThrottles   Kind = "store-throttles"
	// HerdKill kills the instances with the numbers Targets at the same moment, after which they are restarted. SoftwareLeaves replaces the
	// endpoints of the oldest software version, at most half of all that serve a model, by ones of the next version; with Count 1 they leave
	// with an announcement, with 2 without one.
	HerdKill       Kind = "herd-kill"
	SoftwareLeaves Kind = "software-leaves"
	// Busy keeps Count processors of the host busy.
	Busy Kind = "busy"
)

// Step is one action of a plan.
type Step struct {
	At     time.Duration `json:"at"`
	Kind   Kind          `json:"kind"`
	Target int           `json:"target"`
	For    time.Duration `json:"for,omitempty"`
	Count  int           `json:"count,omitempty"`
	// Targets are the instances of a step on several of them.
	Targets []int `json:"targets,omitempty"`
}

// Options are the options of a plan.
type Options struct {
	Span                 time.Duration
	Instances, Endpoints int
	// Only lists the kinds that may be drawn. If it is empty, all kinds may be drawn.
	Only []Kind
	// Herds lists the choices of herd kills; without any there is none. HerdShare is the share of the instances that HerdMost kills, and Halls
	// the number of halls over which instances are spread in turn.
	Herds     []Herd
	HerdShare float64
	Halls     int
}

// kindSpec describes how steps of a kind are drawn. A kind is drawn with a probability proportional to its weight.
type kindSpec struct {
	kind   Kind
	weight int
	// maxFor bounds Step.For, and maxCount bounds Step.Count.
	maxFor   time.Duration
	maxCount int
}

// kindSpecs are the kinds that Draw draws. Events that are frequent on real platforms have a high weight.
var kindSpecs = []kindSpec{
	{kind: Stop, weight: 12}, {kind: StopTwice, weight: 4}, {kind: StopEarly, weight: 2}, {kind: Hangup, weight: 8},
	{kind: HangupEarly, weight: 3}, {kind: Kill, weight: 3}, {kind: Freeze, weight: 4, maxFor: 2500 * time.Millisecond},
	{kind: AddRoute, weight: 4}, {kind: RemoveRoute, weight: 2}, {kind: SetIdle, weight: 6}, {kind: SetTimeouts, weight: 4}, {kind: Name, weight: 4},
	{kind: EndpointBreaks, weight: 6, maxCount: 3}, {kind: EndpointResets, weight: 3, maxCount: 4}, {kind: EndpointSheds, weight: 3, maxCount: 10},
	{kind: EndpointErrors, weight: 2, maxCount: 4}, {kind: EndpointTwice, weight: 2, maxCount: 3}, {kind: EndpointHangs, weight: 1, maxCount: 2},
	{kind: EndpointDrains, weight: 3}, {kind: EndpointVanishes, weight: 2}, {kind: EndpointKilled, weight: 2},
	{kind: EndpointFreezes, weight: 2, maxFor: 2 * time.Second}, {kind: EndpointQueues, weight: 2, maxFor: 2 * time.Second},
	{kind: EndpointLinksSilent, weight: 2}, {kind: EndpointLinksReset, weight: 2},
	{kind: LinkSlow, weight: 2, maxFor: 4 * time.Second}, {kind: LinkCut, weight: 3, maxFor: 4 * time.Second},
	{kind: LinkDeaf, weight: 2, maxFor: 4 * time.Second}, {kind: LinkReset, weight: 2},
	{kind: StoreDown, weight: 2, maxFor: 4 * time.Second}, {kind: StoreSilent, weight: 2, maxFor: 4 * time.Second},
	{kind: StoreLosesWrites, weight: 2, maxCount: 3}, {kind: StoreLateWrites, weight: 1, maxCount: 2}, {kind: StoreForgets, weight: 2},
	{kind: StoreRevokes, weight: 1}, {kind: StoreLinksSilent, weight: 2}, {kind: StoreFreezes, weight: 1, maxFor: 2 * time.Second},
	{kind: StoreThrottles, weight: 1, maxFor: 3 * time.Second}, {kind: Busy, weight: 1, maxFor: 6 * time.Second, maxCount: 6},
}

// noticeSpecs are the kinds in which endpoints send notices. They are drawn from random numbers of their own, so that a seed gives the
// same other steps with and without notices.
var noticeSpecs = []kindSpec{
	{kind: EndpointLimits, weight: 4, maxFor: 12 * time.Second, maxCount: 8}, {kind: EndpointSaysLeaving, weight: 2},
	{kind: EndpointRests, weight: 3, maxFor: 8 * time.Second, maxCount: 6},
}

// endlessSpecs are the kinds in which endpoints send without end, drawn from random numbers of their own as well.
var endlessSpecs = []kindSpec{{kind: EndpointEndless, weight: 1, maxFor: 8 * time.Second, maxCount: int(platformstandin.EndlessKinds) - 1}}

const (
	// endlessGap and endlessStream are the same as noticeGap and noticeStream for endpoints that send without end.
	endlessGap    = 1200 * time.Millisecond
	endlessStream = 1 << 42
	// noticeGap is the mean time between two steps with notices.
	noticeGap = 1500 * time.Millisecond
	// noticeStream is added to the stream number of the random generator, so that notices get random numbers of their own.
	noticeStream = 1 << 40
	// releaseStream is the same for releases, and releaseGap the time between the replacements of two endpoints.
	releaseStream = 1 << 41
	releaseGap    = 1200 * time.Millisecond
	// quietBegin and quietEnd are times without steps at the begin and the end of a run, so that caches are filled before the first step and
	// the effects of the last steps are observed.
	quietBegin = 3 * time.Second
	quietEnd   = 10 * time.Second
	// meanGap is the mean time between two draws. In a series, step i follows the first step after at most i times seriesGap. maxSeries
	// is the greatest number of steps of a series.
	meanGap   = 900 * time.Millisecond
	seriesGap = 400 * time.Millisecond
	maxSeries = 5
	// seriesOdds makes one of five draws a series: steps of one kind on several targets.
	seriesOdds = 5
)

// Draw returns a plan without notices, ordered by time.
func Draw(seed uint64, o Options) []Step {
	return drawSteps(rand.New(rand.NewPCG(seed, uint64(o.Span))), allowedSpecs(o.Only), meanGap, o)
}

// DrawNotices returns a plan of the steps in which endpoints send notices, ordered by time.
func DrawNotices(seed uint64, o Options) []Step {
	return drawSteps(rand.New(rand.NewPCG(seed, noticeStream+uint64(o.Span))), noticeSpecs, noticeGap, o)
}

// DrawEndless returns a plan of the steps in which endpoints send without end, ordered by time.
func DrawEndless(seed uint64, o Options) []Step {
	return drawSteps(rand.New(rand.NewPCG(seed, endlessStream+uint64(o.Span))), endlessSpecs, endlessGap, o)
}

// Merge returns the steps of two plans, ordered by time.
func Merge(one, other []Step) []Step {
	all := slices.Concat(one, other)
	slices.SortStableFunc(all, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return all
}

func drawSteps(random *rand.Rand, allowed []kindSpec, gap time.Duration, o Options) []Step {
	if len(allowed) == 0 {
		return nil
	}
	var steps []Step
	for at := quietBegin; at < o.Span-quietEnd; at += time.Duration(random.ExpFloat64() * float64(gap)) {
		drawn := drawSpec(random, allowed)
		count := 1
		if random.IntN(seriesOdds) == 0 {
			count += random.IntN(maxSeries)
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

func allowedSpecs(only []Kind) []kindSpec {
	if len(only) == 0 {
		return kindSpecs
	}
	var allowed []kindSpec
	for _, one := range kindSpecs {
		if slices.Contains(only, one.kind) {
			allowed = append(allowed, one)
		}
	}
	return allowed
}

func drawSpec(random *rand.Rand, allowed []kindSpec) kindSpec {
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

func (s kindSpec) step(random *rand.Rand, o Options) Step {
	step := Step{Kind: s.kind, Target: random.IntN(o.Instances)}
	if s.targetsEndpoint() {
		step.Target = random.IntN(o.Endpoints)
	}
	if s.maxFor > 0 {
		step.For = time.Duration(random.Float64() * float64(s.maxFor)).Round(time.Millisecond)
	}
	if s.maxCount > 0 {
		step.Count = 1 + random.IntN(s.maxCount)
	}
	return step
}

// targetsEndpoint reports whether the target of the kind is an endpoint.
func (s kindSpec) targetsEndpoint() bool {
	const prefix = "endpoint-"
	return len(s.kind) > len(prefix) && s.kind[:len(prefix)] == prefix
}

// Kinds returns all kinds that Draw draws, in the order of kindSpecs.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(kindSpecs))
	for _, one := range kindSpecs {
		kinds = append(kinds, one.kind)
	}
	return kinds
}

// DrawReleases returns a plan that replaces all endpoints, one after another, by ones of a newer software version, ordered by time. It draws
// from random numbers of its own.
func DrawReleases(seed uint64, o Options) []Step {
	random := rand.New(rand.NewPCG(seed, releaseStream+uint64(o.Span)))
	last := max(quietBegin, o.Span-quietEnd)
	at := quietBegin + time.Duration(random.Float64()*float64(last-quietBegin)/2)
	var steps []Step
	for _, target := range random.Perm(o.Endpoints) {
		steps = append(steps, Step{Kind: EndpointReleased, Target: target, At: at})
		at += releaseGap
	}
	return steps
}
