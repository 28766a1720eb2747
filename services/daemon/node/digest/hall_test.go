// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package digest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node/digest"
)

const pool = "h2/base"

var begin = time.Unix(1000, 0)

func after(d time.Duration) time.Time {
	return begin.Add(d)
}

func instance(id string) fleet.Instance {
	return fleet.Instance{ID: id, Hall: "h2"}
}

func placer(id string, term uint64) fleet.PoolPlacer {
	return fleet.PoolPlacer{Pool: pool, Term: term, Instance: instance(id)}
}

func ids(instances []fleet.Instance) []string {
	var out []string
	for _, i := range instances {
		out = append(out, i.ID)
	}
	return out
}

// heard gives a hall in reach, whose speaker is i1.
func heard() *digest.Hall {
	h := digest.NewHall("h2")
	h.Take(begin, &fleet.Digest{Speaker: instance("i1"), Instances: []fleet.Instance{instance("i1"), instance("i2")}, Revision: 3})
	h.SetCut(false)
	return h
}

func TestHallThatWasNeverHeardCountsAsCutOff(t *testing.T) {
	h := digest.NewHall("h2")
	require.True(t, h.Cut())
	require.False(t, h.FallsSilent(after(time.Hour), time.Second), "it cannot fall silent")
	require.Zero(t, h.Silence(after(time.Hour)))
	require.True(t, h.WantsInstances())
	require.Empty(t, h.Targets(nil))
	_, ok := h.Speaker()
	require.False(t, ok)
}

func TestSilenceOfAHall(t *testing.T) {
	const limit = 3 * time.Second
	for _, row := range []struct {
		at     time.Duration
		silent bool
	}{{0, false}, {limit, false}, {limit + 1, true}} {
		require.Equal(t, row.silent, heard().FallsSilent(after(row.at), limit), "%v after the last digest", row.at)
	}
	h := heard()
	require.Equal(t, limit, h.Silence(after(limit)))
	h.Take(after(time.Second), &fleet.Digest{Speaker: instance("i1"), Age: 400 * time.Millisecond})
	require.Equal(t, 400*time.Millisecond, h.Silence(after(time.Second)), "the time at a relay counts")
	require.True(t, h.SetCut(true))
	require.False(t, h.SetCut(true), "a hall is cut off once")
	require.False(t, h.FallsSilent(after(time.Hour), limit))
}

func TestAccountWithoutInstancesKeepsThoseKnown(t *testing.T) {
	h := heard()
	h.Take(after(time.Second), &fleet.Digest{Speaker: instance("i2"), Revision: 4})
	_, ok := h.Instance("i1")
	require.True(t, ok)
	require.EqualValues(t, 4, h.Revision())
	s, _ := h.Speaker()
	require.Equal(t, "i2", s.ID)
	_, ok = h.Instance("i9")
	require.False(t, ok)
}

func TestOnlyTheSpeakerItselfSaysWhatTheHallMisses(t *testing.T) {
	h := heard()
	h.Take(begin, &fleet.Digest{WantedSummaries: []string{"h1/base"}})
	require.True(t, h.Wants("h1/base"))
	require.True(t, h.WantsInstances())
	h.Take(begin, &fleet.Digest{Relayed: true})
	require.True(t, h.Wants("h1/base"), "a relayed digest is another's")
	h.Take(begin, &fleet.Digest{})
	require.False(t, h.Wants("h1/base"))
	require.False(t, h.WantsInstances())
}

func TestLatePlacerRecordTurnsNothingBack(t *testing.T) {
	h := heard()
	for _, row := range []struct {
		name   string
		record fleet.PoolPlacer
		moved  bool
		placer string
	}{
		{"first", placer("i1", 4), true, "i1"},
		{"repeated", placer("i1", 4), false, "i1"},
		{"new term", placer("i1", 5), true, "i1"},
		{"late, of an older term", placer("i2", 4), false, "i1"},
		{"another under the same term", placer("i2", 5), true, "i2"},
		{"another under a higher term", placer("i3", 6), true, "i3"},
	} {
		require.Equal(t, row.moved, h.LearnPlacer(row.record), row.name)
		got, ok := h.Placer(pool)
		require.True(t, ok)
		require.Equal(t, row.placer, got.ID, row.name)
	}
	_, ok := h.Placer("h2/other")
	require.False(t, ok)
}

func TestMissedSummariesAreAskedForUntilTheyCome(t *testing.T) {
	h := heard()
	h.SetGap("h2/b", true)
	h.SetGap("h2/a", true)
	h.SetGap("h2/a", true)
	require.Equal(t, []string{"h2/a", "h2/b"}, h.Gaps())
	h.SetGap("h2/a", false)
	h.SetGap("h2/c", false)
	require.Equal(t, []string{"h2/b"}, h.Gaps())
}

func TestWhomToTell(t *testing.T) {
	listed := map[string]fleet.Instance{
		"i2": instance("i2"), "i3": instance("i3"), "x": {ID: "x", Hall: "h3"},
	}
	h := heard()
	require.Equal(t, []string{"i1"}, ids(h.Targets(listed)))
	require.Equal(t, []string{"i1"}, ids(h.Targets(listed)), "the speaker, each time")
	h.SetCut(true)
	var told []string
	for range 4 {
		told = append(told, ids(h.Targets(listed))...)
	}
	require.Equal(t, []string{"i2", "i3", "i1", "i2"}, told, "in turn, since some may be lost; none of another hall")
}

func TestOneInstanceSpeaksForAHall(t *testing.T) {
	require.Empty(t, digest.Speaker("h1", nil))
	require.Equal(t, "i1", digest.Speaker("h1", []string{"i1"}))
	all := digest.Speaker("h1", []string{"i1", "i2", "i3"})
	require.Equal(t, all, digest.Speaker("h1", []string{"i3", "i2", "i1"}), "members that know the same choose the same")
}

// numbered gives a digest of a life of an instance.
func numbered(id string, boot, number uint64) *fleet.Digest {
	return &fleet.Digest{Speaker: instance(id), Boot: boot, Number: number}
}

func TestWhichDigestsAreLate(t *testing.T) {
	h := digest.NewHall("h2")
	for _, d := range []*fleet.Digest{numbered("i1", 5, 7), numbered("i1", 6, 1), numbered("i2", 3, 4)} {
		require.False(t, h.Late(d))
		h.Take(begin, d)
	}
	for _, row := range []struct {
		name   string
		digest *fleet.Digest
		late   bool
	}{
		{"the last one once more", numbered("i2", 3, 4), true},
		{"one before it", numbered("i2", 3, 3), true},
		{"the next", numbered("i2", 3, 5), false},
		{"the next of the speaker before", numbered("i1", 6, 2), false},
		{"one before that", numbered("i1", 6, 1), true},
		{"the next of a former life", numbered("i1", 5, 8), true},
		{"the first of a new life", numbered("i1", 7, 1), false},
		{"the first of a life whose clock was set back", numbered("i1", 2, 1), false},
		{"of a speaker that does not number them", numbered("i2", 0, 0), false},
	} {
		require.Equal(t, row.late, h.Late(row.digest), row.name)
	}
}

func TestALifeWhoseClockWasSetBackGoesOnBeingHeard(t *testing.T) {
	h := digest.NewHall("h2")
	for _, d := range []*fleet.Digest{numbered("i1", 6, 9), numbered("i1", 2, 1), numbered("i1", 2, 2)} {
		require.False(t, h.Late(d))
		h.Take(begin, d)
	}
	h.Take(begin, numbered("i1", 4, 1))
	require.False(t, h.Late(numbered("i1", 6, 10)), "a life that was heard first ends none that goes on")
}

func TestOnlyTheLastEightLivesOfSpeakersAreRemembered(t *testing.T) {
	const lives = 10
	h := digest.NewHall("h2")
	for boot := uint64(1); boot <= lives; boot++ {
		h.Take(begin, numbered("i1", boot, 1))
	}
	require.True(t, h.Late(numbered("i1", lives-7, 1)))
	require.False(t, h.Late(numbered("i1", lives-8, 1)), "it is remembered no more")
}
