// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
)

// histories is the number of random store histories per kind of fault.
const histories = 4_000

// simulated is the duration of a history. Changes happen in its first half.
const simulated = 12 * time.Second

// faults are the faults that may happen in a history.
type faults struct {
	// loses means that the store loses its history once. New watches that arrive within deafFor of the loss receive no changes, like
	// those that wait during the loss.
	loses   bool
	deafFor time.Duration
	// alone means that no other key of the store changes, so that a watch may continue after the loss from a revision before it.
	alone bool
	// silent means that the connection stops delivering messages once.
	silent bool
	// slowest is the maximum transmission time of a call to the store, and of its answer.
	slowest time.Duration
}

// history is the history of a store: change i has revision i+1 and was acknowledged at acknowledged[i].
type history struct {
	faults
	random       *rand.Rand
	acknowledged []time.Duration
	lostAt       time.Duration
	silentAt     time.Duration
}

func newHistory(seed uint64, kind faults) *history {
	random := rand.New(rand.NewPCG(seed, 1))
	span := func(most time.Duration) time.Duration {
		return time.Duration(random.Int64N(int64(most))).Truncate(time.Millisecond)
	}
	h := &history{faults: kind, random: random, lostAt: -time.Hour, silentAt: -time.Hour}
	for range 1 + random.IntN(4) {
		h.acknowledged = append(h.acknowledged, span(simulated/2))
	}
	slices.Sort(h.acknowledged)
	if kind.loses {
		h.lostAt = span(simulated / 2)
	}
	if kind.silent {
		h.silentAt = span(simulated / 2)
	}
	return h
}

// revision returns the revision of the store at a time.
func (h *history) revision(at time.Duration) int64 {
	count, _ := slices.BinarySearchFunc(h.acknowledged, at+1, cmp.Compare)
	return int64(count)
}

func (h *history) transmissionTime() time.Duration {
	if h.slowest == 0 {
		return time.Millisecond
	}
	return time.Millisecond + time.Duration(h.random.Int64N(int64(h.slowest)))
}

// watch returns when the store answers a watch that arrives at a time and continues from what the store sent at toldAt, and the
// revision up to which it answers; gone means that the store answers that its history is lost.
func (h *history) watch(arrived, wait time.Duration, after int64, toldAt time.Duration) (at time.Duration, upTo int64, gone bool) {
	end := arrived + wait
	waitsAtLoss := arrived <= h.lostAt && h.lostAt < end
	next := end + 1
	if int(after) < len(h.acknowledged) {
		next = max(arrived, h.acknowledged[after])
	}
	lost := arrived > h.lostAt && (after < h.revision(h.lostAt) || !h.alone && toldAt <= h.lostAt)
	deafNow := arrived > h.lostAt && arrived <= h.lostAt+h.deafFor
	switch {
	case deafNow, waitsAtLoss && next >= h.lostAt:
		return end, after, false
	case lost:
		return arrived, 0, true
	case next > end:
		return end, after, false
	default:
		return next, h.revision(next), false
	}
}

// peer is an instance with its own sequence of calls to the store.
type peer struct {
	history  *history
	complete follow.Completeness
	keys     *follow.Keys
	reported int64
	// worst is the longest time by which a change was assumed too young, and worstChange describes that change.
	worst       time.Duration
	worstChange string
	// missing describes a change that was missing below the revision up to which all changes should be known.
	missing string
	// unproven is the longest time by which the last proof of completeness was too late.
	unproven time.Duration
}

// step is an event at a time.
type step struct {
	at time.Duration
	do func()
}

func moment(at time.Duration) time.Time { return start.Add(at) }

func (p *peer) take(at time.Duration, origin follow.Origin, revisions []int64) {
	taken := false
	for _, revision := range revisions {
		if !p.keys.Put(store.Item{Key: fmt.Sprint(revision), Revision: revision}) {
			continue
		}
		taken = true
		acknowledged := moment(p.history.acknowledged[revision-1])
		p.unproven = max(p.unproven, origin.CompleteAt.Sub(acknowledged))
		if young := origin.Since.Sub(acknowledged); young > p.worst {
			p.worst = young
			p.worstChange = fmt.Sprintf("%s at %s: change %d is assumed %s too young", origin.Source, at, revision, young)
		}
	}
	if taken {
		p.keys.RecordChange(origin.Since)
	}
	if len(revisions) > 0 {
		p.keys.MarkComplete(origin.UpTo)
	}
	known := int64(len(p.keys.After(0)) - len(p.keys.After(p.keys.Revision())))
	if known < p.keys.Revision() {
		p.missing = fmt.Sprintf("%s at %s: only %d of %d changes known", origin.Source, at, known, p.keys.Revision())
	}
}

func between(after, upTo int64) []int64 {
	var list []int64
	for revision := after + 1; revision <= upTo; revision++ {
		list = append(list, revision)
	}
	return list
}

// calls returns the events of the sequence of calls to the store.
func (p *peer) calls(wait time.Duration) []step {
	h := p.history
	var steps []step
	add := func(at time.Duration, do func()) { steps = append(steps, step{at, do}) }
	now, reading, after, failures := time.Duration(0), true, int64(0), 0
	silenced, toldAt := false, time.Duration(0)
	for now < simulated {
		sent := now
		up, down := h.transmissionTime(), h.transmissionTime()
		if reading {
			arrived := sent + up
			upTo := h.revision(arrived)
			now = arrived + down
			at := now
			add(at, func() {
				p.take(at, p.complete.Origin(follow.FromRead, upTo), between(0, upTo))
				p.complete.RecordRead(moment(sent))
			})
			after, reading, failures, toldAt = upTo, false, 0, arrived
			continue
		}
		answered, upTo, gone := h.watch(sent+up, wait, after, toldAt)
		if h.silent && !silenced && h.silentAt <= answered {
			silenced = true
			now = sent + wait + follow.WatchSlack
			add(now, p.complete.RecordFailure)
			failures++
			reading = failures > 1
			now += 250 * time.Millisecond
			continue
		}
		now = answered + down
		at := now
		if now > sent+wait+follow.WatchSlack {
			now = sent + wait + follow.WatchSlack
			add(now, p.complete.RecordFailure)
			failures++
			reading = failures > 1
			now += 250 * time.Millisecond
			continue
		}
		if gone {
			add(at, p.complete.RecordFailure)
			reading = true
			continue
		}
		known := after
		answer := follow.WatchAnswer{Sent: moment(sent), Received: moment(at), Wait: wait, Empty: upTo == known}
		add(at, func() {
			p.take(at, p.complete.OriginOf(answer, upTo), between(known, upTo))
			p.complete.RecordWatch(answer)
		})
		if upTo > known {
			toldAt = answered
		}
		after, failures = upTo, 0
	}
	return steps
}

// relays returns the events by which the planner sends keys to a member that reported some time before.
func (h *history) relays(planner, member *peer) []step {
	var steps []step
	for at := 100 * time.Millisecond; at < simulated; at += 50*time.Millisecond + time.Duration(h.random.Int64N(int64(400*time.Millisecond))) {
		steps = append(steps, step{at, func() { member.reported = member.keys.Revision() }})
		sending := at + time.Duration(h.random.Int64N(int64(300*time.Millisecond)))
		arriving := sending + time.Duration(h.random.Int64N(int64(500*time.Millisecond)))
		var items []int64
		var age time.Duration
		var upTo int64
		steps = append(steps, step{sending, func() {
			items, age = nil, 0
			for _, item := range planner.keys.After(member.reported) {
				items = append(items, item.Revision)
			}
			if since, known := planner.keys.ChangedSince(member.reported); known {
				age = max(1, moment(sending).Sub(since))
			}
			upTo = planner.keys.Revision()
		}}, step{arriving, func() {
			origin := member.complete.Origin(follow.FromPlanner, upTo)
			if age > 0 {
				origin = origin.NotBefore(moment(sending).Add(-age))
			}
			member.take(arriving, origin, items)
		}})
	}
	return steps
}

// outcome is the result of a history.
type outcome struct {
	young, unproven      time.Duration
	worstChange, missing string
	neverReceived        int
}

// play simulates a history.
func play(seed uint64, kind faults) outcome {
	h := newHistory(seed, kind)
	planner := &peer{history: h, keys: follow.NewKeys()}
	member := &peer{history: h, keys: follow.NewKeys()}
	steps := planner.calls(follow.ShortWatch)
	steps = append(steps, member.calls(follow.LongWatch)...)
	steps = append(steps, h.relays(planner, member)...)
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	for _, next := range steps {
		next.do()
	}
	result := outcome{
		young: planner.worst, worstChange: "planner: " + planner.worstChange, missing: planner.missing + member.missing,
		unproven:      max(planner.unproven, member.unproven),
		neverReceived: 2*len(h.acknowledged) - len(planner.keys.After(0)) - len(member.keys.After(0)),
	}
	if member.worst > planner.worst {
		result.young, result.worstChange = member.worst, "member: "+member.worstChange
	}
	return result
}

// TestChangeCountsNoLaterThanItsAcknowledgement simulates random histories of a store, of a planner with short watches, and of a
// member to which the planner sends changes. A change may be assumed younger than it is by the transmission time of one answer,
// which cannot be measured.
func TestChangeCountsNoLaterThanItsAcknowledgement(t *testing.T) {
	playAll(t, map[string]faults{
		"no faults":                          {},
		"silent connection":                  {silent: true},
		"lost history, deaf while waiting":   {loses: true},
		"links of 50 ms":                     {slowest: 50 * time.Millisecond},
		"links of 50 ms, silent connection":  {slowest: 50 * time.Millisecond, silent: true},
		"links of 120 ms, silent connection": {slowest: 120 * time.Millisecond, silent: true},
	})
}

// TestChangeCountsNoLaterThanItsAcknowledgementWithDeafWatches has watches that are sent within a second of the loss receive no
// changes either, so that two in a row may have been sent after a change that both omit.
func TestChangeCountsNoLaterThanItsAcknowledgementWithDeafWatches(t *testing.T) {
	playAll(t, map[string]faults{
		"other keys change": {loses: true, deafFor: time.Second},
		"no other key changes, only waiting watches are deaf": {loses: true, alone: true},
		"no other key changes":                                {loses: true, alone: true, deafFor: time.Second},
	})
}

// TestChangeCountsNoLaterThanItsAcknowledgementOnSlowLinks has watches arrive late, as on a congested link. Such a watch is
// answered at once, which looks as if the store had held its answer back.
func TestChangeCountsNoLaterThanItsAcknowledgementOnSlowLinks(t *testing.T) {
	playAll(t, map[string]faults{
		"up to 200 ms":                    {slowest: 200 * time.Millisecond},
		"up to 200 ms, silent connection": {slowest: 200 * time.Millisecond, silent: true},
		"up to 500 ms":                    {slowest: 500 * time.Millisecond},
		"up to 500 ms, silent connection": {slowest: 500 * time.Millisecond, silent: true},
	})
}

// playAll simulates histories with each kind of faults.
func playAll(t *testing.T, kinds map[string]faults) {
	t.Helper()
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkHistories(t, kind)
		})
	}
}

func checkHistories(t *testing.T, kind faults) {
	t.Helper()
	var worst outcome
	var seedOfWorst uint64
	var unproven time.Duration
	for seed := range uint64(histories) {
		result := play(seed, kind)
		assert.Empty(t, result.missing, "seed %d", seed)
		assert.Zero(t, result.neverReceived, "seed %d: changes that were never received", seed)
		unproven = max(unproven, result.unproven)
		if result.young > worst.young {
			worst, seedOfWorst = result, seed
		}
	}
	allowed := kind.slowest + time.Millisecond
	assert.LessOrEqual(t, worst.young, allowed, "seed %d: %s", seedOfWorst, worst.worstChange)
	assert.LessOrEqual(t, unproven, allowed, "the last proof of completeness is too late")
}
