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

// reachableHall returns a reachable hall whose speaker is i1.
func reachableHall() *digest.Hall {
	h := digest.NewHall("h2")
	h.ApplyDigest(begin, &fleet.Digest{Speaker: instance("i1"), Instances: []fleet.Instance{instance("i1"), instance("i2")}, Revision: 3})
	h.SetCutOff(false)
	return h
}

func TestNewHallCountsAsCutOff(t *testing.T) {
	h := digest.NewHall("h2")
	require.True(t, h.CutOff())
	require.False(t, h.BecameSilent(after(time.Hour), time.Second), "a hall that is cut off does not become silent")
	require.Zero(t, h.Silence(after(time.Hour)))
	require.True(t, h.WantsInstances())
	require.Empty(t, h.Recipients(nil))
	_, ok := h.Speaker()
	require.False(t, ok)
}

func TestHallBecomesSilentAfterLimit(t *testing.T) {
	const limit = 3 * time.Second
	for _, row := range []struct {
		at     time.Duration
		silent bool
	}{{0, false}, {limit, false}, {limit + 1, true}} {
		require.Equal(t, row.silent, reachableHall().BecameSilent(after(row.at), limit), "%v after the last digest", row.at)
	}
	h := reachableHall()
	require.Equal(t, limit, h.Silence(after(limit)))
	h.ApplyDigest(after(time.Second), &fleet.Digest{Speaker: instance("i1"), Age: 400 * time.Millisecond})
	require.Equal(t, 400*time.Millisecond, h.Silence(after(time.Second)), "the age of a relayed digest counts")
	require.True(t, h.SetCutOff(true))
	require.False(t, h.SetCutOff(true), "the hall is cut off already")
	require.False(t, h.BecameSilent(after(time.Hour), limit))
}

func TestDigestWithoutInstancesKeepsKnownInstances(t *testing.T) {
	h := reachableHall()
	h.ApplyDigest(after(time.Second), &fleet.Digest{Speaker: instance("i2"), Revision: 4})
	_, ok := h.Instance("i1")
	require.True(t, ok)
	require.EqualValues(t, 4, h.Revision())
	s, _ := h.Speaker()
	require.Equal(t, "i2", s.ID)
	_, ok = h.Instance("i9")
	require.False(t, ok)
}

func TestRelayedDigestDoesNotChangeRequestedSummaries(t *testing.T) {
	h := reachableHall()
	h.ApplyDigest(begin, &fleet.Digest{WantedSummaries: []string{"h1/base"}})
	require.True(t, h.WantsSummary("h1/base"))
	require.True(t, h.WantsInstances())
	h.ApplyDigest(begin, &fleet.Digest{Relayed: true})
	require.True(t, h.WantsSummary("h1/base"), "a relayed digest requests summaries from another instance")
	h.ApplyDigest(begin, &fleet.Digest{})
	require.False(t, h.WantsSummary("h1/base"))
	require.False(t, h.WantsInstances())
}

func TestLatePlacerRecordIsIgnored(t *testing.T) {
	h := reachableHall()
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
		require.Equal(t, row.moved, h.UpdatePlacer(row.record), row.name)
		got, ok := h.Placer(pool)
		require.True(t, ok)
		require.Equal(t, row.placer, got.ID, row.name)
	}
	_, ok := h.Placer("h2/other")
	require.False(t, ok)
}

func TestMissedSummariesAreRequestedUntilReceived(t *testing.T) {
	h := reachableHall()
	h.SetSummaryMissed("h2/b", true)
	h.SetSummaryMissed("h2/a", true)
	h.SetSummaryMissed("h2/a", true)
	require.Equal(t, []string{"h2/a", "h2/b"}, h.MissedSummaries())
	h.SetSummaryMissed("h2/a", false)
	h.SetSummaryMissed("h2/c", false)
	require.Equal(t, []string{"h2/b"}, h.MissedSummaries())
}

func TestDigestRecipients(t *testing.T) {
	listed := map[string]fleet.Instance{
		"i2": instance("i2"), "i3": instance("i3"), "x": {ID: "x", Hall: "h3"},
	}
	h := reachableHall()
	require.Equal(t, []string{"i1"}, ids(h.Recipients(listed)))
	require.Equal(t, []string{"i1"}, ids(h.Recipients(listed)), "the speaker each time")
	h.SetCutOff(true)
	var recipients []string
	for range 4 {
		recipients = append(recipients, ids(h.Recipients(listed))...)
	}
	require.Equal(t, []string{"i2", "i3", "i1", "i2"}, recipients, "in rotation, since some instances may be lost; none of another hall")
}

func TestAllMembersChooseTheSameSpeaker(t *testing.T) {
	require.Empty(t, digest.Speaker("h1", nil))
	require.Equal(t, "i1", digest.Speaker("h1", []string{"i1"}))
	speaker := digest.Speaker("h1", []string{"i1", "i2", "i3"})
	require.Equal(t, speaker, digest.Speaker("h1", []string{"i3", "i2", "i1"}), "the choice does not depend on the order of the candidates")
}

// numberedDigest returns a numbered digest of one run of an instance.
func numberedDigest(id string, boot, number uint64) *fleet.Digest {
	return &fleet.Digest{Speaker: instance(id), Boot: boot, Number: number}
}

func TestLateDigests(t *testing.T) {
	h := digest.NewHall("h2")
	for _, d := range []*fleet.Digest{numberedDigest("i1", 5, 7), numberedDigest("i1", 6, 1), numberedDigest("i2", 3, 4)} {
		require.False(t, h.IsLate(d))
		h.ApplyDigest(begin, d)
	}
	for _, row := range []struct {
		name   string
		digest *fleet.Digest
		late   bool
	}{
		{"the last digest again", numberedDigest("i2", 3, 4), true},
		{"an earlier digest of the speaker", numberedDigest("i2", 3, 3), true},
		{"the next digest of the speaker", numberedDigest("i2", 3, 5), false},
		{"the next digest of the former speaker", numberedDigest("i1", 6, 2), false},
		{"the last digest of the former speaker again", numberedDigest("i1", 6, 1), true},
		{"the next digest of a former run", numberedDigest("i1", 5, 8), true},
		{"the first digest of a new run", numberedDigest("i1", 7, 1), false},
		{"the first digest of a run whose clock was set back", numberedDigest("i1", 2, 1), false},
		{"a digest without a number", numberedDigest("i2", 0, 0), false},
	} {
		require.Equal(t, row.late, h.IsLate(row.digest), row.name)
	}
}

func TestRunWithClockSetBackIsNotLate(t *testing.T) {
	h := digest.NewHall("h2")
	for _, d := range []*fleet.Digest{numberedDigest("i1", 6, 9), numberedDigest("i1", 2, 1), numberedDigest("i1", 2, 2)} {
		require.False(t, h.IsLate(d))
		h.ApplyDigest(begin, d)
	}
	h.ApplyDigest(begin, numberedDigest("i1", 4, 1))
	require.False(t, h.IsLate(numberedDigest("i1", 6, 10)), "a run with a lower boot does not make another run's digests late")
}

func TestOnlyTheLastEightSpeakerRunsAreRemembered(t *testing.T) {
	const lives = 10
	h := digest.NewHall("h2")
	for boot := uint64(1); boot <= lives; boot++ {
		h.ApplyDigest(begin, numberedDigest("i1", boot, 1))
	}
	require.True(t, h.IsLate(numberedDigest("i1", lives-7, 1)))
	require.False(t, h.IsLate(numberedDigest("i1", lives-8, 1)), "the run has been dropped")
}
