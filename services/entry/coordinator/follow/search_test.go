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

// histories is how many histories of a store are played for each kind of trouble.
const histories = 4_000

// played is for how long a history goes on; changes come in its first half.
const played = 12 * time.Second

// trouble is what may happen in a history.
type trouble struct {
	// deafFor is for how long after the loss of the history watches that are sent anew hear nothing, beside those that wait; where
	// loses is not set, nothing is lost.
	loses   bool
	deafFor time.Duration
	// alone says that no other key of the store changes, so that a watch may go on after the loss from before it.
	alone bool
	// silent has the kept connection fall silent once.
	silent bool
	// slowest is how long a call may take on its way there, and how long back.
	slowest time.Duration
}

// history is one story of a store: change number i has revision i+1, and was acknowledged at acknowledged[i].
type history struct {
	trouble
	random       *rand.Rand
	acknowledged []time.Duration
	lostAt       time.Duration
	silentAt     time.Duration
}

func newHistory(seed uint64, kind trouble) *history {
	random := rand.New(rand.NewPCG(seed, 1))
	span := func(most time.Duration) time.Duration {
		return time.Duration(random.Int64N(int64(most))).Truncate(time.Millisecond)
	}
	h := &history{trouble: kind, random: random, lostAt: -time.Hour, silentAt: -time.Hour}
	for range 1 + random.IntN(4) {
		h.acknowledged = append(h.acknowledged, span(played/2))
	}
	slices.Sort(h.acknowledged)
	if kind.loses {
		h.lostAt = span(played / 2)
	}
	if kind.silent {
		h.silentAt = span(played / 2)
	}
	return h
}

// revision is the store's at a time.
func (h *history) revision(at time.Duration) int64 {
	count, _ := slices.BinarySearchFunc(h.acknowledged, at+1, cmp.Compare)
	return int64(count)
}

func (h *history) way() time.Duration {
	if h.slowest == 0 {
		return time.Millisecond
	}
	return time.Millisecond + time.Duration(h.random.Int64N(int64(h.slowest)))
}

// watch gives when the store answers a watch that arrives at a time and goes on from what the store told at another, and up to which
// revision; gone where it says that history is gone.
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

// peer is an instance with its own thread of calls to the store.
type peer struct {
	history  *history
	complete follow.Completeness
	keys     *follow.Keys
	reported int64
	// worst is how much too young a change counted at the most, and told which one that was.
	worst time.Duration
	told  string
	// lacked tells of a change that was lacking below the revision up to which none is.
	lacked string
	// unproven is how much too late the last proof that nothing was lacking was at the most.
	unproven time.Duration
}

// step is something that is taken in at a time.
type step struct {
	at time.Duration
	do func()
}

func moment(at time.Duration) time.Time { return start.Add(at) }

func (p *peer) take(at time.Duration, origin follow.Origin, revisions []int64) {
	taken := false
	for _, revision := range revisions {
		if !p.keys.Take(store.Item{Key: fmt.Sprint(revision), Revision: revision}) {
			continue
		}
		taken = true
		acknowledged := moment(p.history.acknowledged[revision-1])
		p.unproven = max(p.unproven, origin.CompleteAt.Sub(acknowledged))
		if young := origin.Since.Sub(acknowledged); young > p.worst {
			p.worst = young
			p.told = fmt.Sprintf("%s at %s: change %d counts %s too young", origin.Source, at, revision, young)
		}
	}
	if taken {
		p.keys.Changed(origin.Since)
	}
	if len(revisions) > 0 {
		p.keys.Complete(origin.UpTo)
	}
	known := int64(len(p.keys.After(0)) - len(p.keys.After(p.keys.Revision())))
	if known < p.keys.Revision() {
		p.lacked = fmt.Sprintf("%s at %s: only %d of %d known", origin.Source, at, known, p.keys.Revision())
	}
}

func between(after, upTo int64) []int64 {
	var list []int64
	for revision := after + 1; revision <= upTo; revision++ {
		list = append(list, revision)
	}
	return list
}

// calls plays the thread of calls to the store.
func (p *peer) calls(wait time.Duration) []step {
	h := p.history
	var steps []step
	add := func(at time.Duration, do func()) { steps = append(steps, step{at, do}) }
	now, reading, after, failures := time.Duration(0), true, int64(0), 0
	silenced, toldAt := false, time.Duration(0)
	for now < played {
		sent := now
		up, down := h.way(), h.way()
		if reading {
			arrived := sent + up
			upTo := h.revision(arrived)
			now = arrived + down
			at := now
			add(at, func() {
				p.take(at, p.complete.Origin(follow.FromReading, upTo), between(0, upTo))
				p.complete.Read(moment(sent))
			})
			after, reading, failures, toldAt = upTo, false, 0, arrived
			continue
		}
		answered, upTo, gone := h.watch(sent+up, wait, after, toldAt)
		if h.silent && !silenced && h.silentAt <= answered {
			silenced = true
			now = sent + wait + follow.WatchSlack
			add(now, p.complete.Failed)
			failures++
			reading = failures > 1
			now += 250 * time.Millisecond
			continue
		}
		now = answered + down
		at := now
		if now > sent+wait+follow.WatchSlack {
			now = sent + wait + follow.WatchSlack
			add(now, p.complete.Failed)
			failures++
			reading = failures > 1
			now += 250 * time.Millisecond
			continue
		}
		if gone {
			add(at, p.complete.Failed)
			reading = true
			continue
		}
		known := after
		answer := follow.WatchAnswer{Sent: moment(sent), Received: moment(at), Wait: wait, Empty: upTo == known}
		add(at, func() {
			p.take(at, p.complete.OriginOf(answer, upTo), between(known, upTo))
			p.complete.Watched(answer)
		})
		if upTo > known {
			toldAt = answered
		}
		after, failures = upTo, 0
	}
	return steps
}

// passes has the planner pass keys on to a member that reported some time before.
func (h *history) passes(planner, member *peer) []step {
	var steps []step
	for at := 100 * time.Millisecond; at < played; at += 50*time.Millisecond + time.Duration(h.random.Int64N(int64(400*time.Millisecond))) {
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

// outcome is what a history showed.
type outcome struct {
	young, unproven time.Duration
	told, lacked    string
	never           int
}

// play plays a history.
func play(seed uint64, kind trouble) outcome {
	h := newHistory(seed, kind)
	planner := &peer{history: h, keys: follow.NewKeys()}
	member := &peer{history: h, keys: follow.NewKeys()}
	steps := planner.calls(follow.ShortWatch)
	steps = append(steps, member.calls(follow.LongWatch)...)
	steps = append(steps, h.passes(planner, member)...)
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	for _, next := range steps {
		next.do()
	}
	result := outcome{
		young: planner.worst, told: "planner: " + planner.told, lacked: planner.lacked + member.lacked,
		unproven: max(planner.unproven, member.unproven),
		never:    2*len(h.acknowledged) - len(planner.keys.After(0)) - len(member.keys.After(0)),
	}
	if member.worst > planner.worst {
		result.young, result.told = member.worst, "member: "+member.told
	}
	return result
}

// TestNoChangeCountsFromAfterItsAcknowledgement plays random histories of a store, of a planner that watches shortly, and of a member
// that the planner passes changes on to. A change may count as younger than it is by the way of an answer, which nothing tells.
func TestNoChangeCountsFromAfterItsAcknowledgement(t *testing.T) {
	playAll(t, map[string]trouble{
		"sound":                            {},
		"a connection that falls silent":   {silent: true},
		"lost history, deaf while waiting": {loses: true},
		"ways of 50 ms":                    {slowest: 50 * time.Millisecond},
		"ways of 50 ms, silent":            {slowest: 50 * time.Millisecond, silent: true},
		"ways of 120 ms, silent":           {slowest: 120 * time.Millisecond, silent: true},
	})
}

// TestNoChangeCountsFromAfterItsAcknowledgementWhereWatchesAreDeaf: watches that are sent within a second of the loss hear nothing
// either, so that two in a row may have been sent after the change that both leave out.
func TestNoChangeCountsFromAfterItsAcknowledgementWhereWatchesAreDeaf(t *testing.T) {
	playAll(t, map[string]trouble{
		"other keys change, too":             {loses: true, deafFor: time.Second},
		"no other key changes, only waiting": {loses: true, alone: true},
		"no other key changes":               {loses: true, alone: true, deafFor: time.Second},
	})
}

// TestNoChangeCountsFromAfterItsAcknowledgementWhereWaysAreLong: a watch that arrives late, on a link that is full, is answered at once
// and looks as if the store had held its answer back.
func TestNoChangeCountsFromAfterItsAcknowledgementWhereWaysAreLong(t *testing.T) {
	playAll(t, map[string]trouble{
		"up to 200 ms":         {slowest: 200 * time.Millisecond},
		"up to 200 ms, silent": {slowest: 200 * time.Millisecond, silent: true},
		"up to 500 ms":         {slowest: 500 * time.Millisecond},
		"up to 500 ms, silent": {slowest: 500 * time.Millisecond, silent: true},
	})
}

// playAll plays histories of each kind.
func playAll(t *testing.T, kinds map[string]trouble) {
	t.Helper()
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkHistories(t, kind)
		})
	}
}

func checkHistories(t *testing.T, kind trouble) {
	t.Helper()
	var worst outcome
	var seedOfWorst uint64
	var unproven time.Duration
	for seed := range uint64(histories) {
		result := play(seed, kind)
		assert.Empty(t, result.lacked, "seed %d", seed)
		assert.Zero(t, result.never, "seed %d: changes that were never learned", seed)
		unproven = max(unproven, result.unproven)
		if result.young > worst.young {
			worst, seedOfWorst = result, seed
		}
	}
	allowed := kind.slowest + time.Millisecond
	assert.LessOrEqual(t, worst.young, allowed, "seed %d: %s", seedOfWorst, worst.told)
	assert.LessOrEqual(t, unproven, allowed, "the last proof that nothing was lacking is too young")
}
