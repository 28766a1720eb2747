// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/daemon/node/lease"
)

const grantLife = 5 * time.Second

var (
	first  = lease.FormerOwner{ID: "i1", Boot: 4}
	second = lease.FormerOwner{ID: "i2", Boot: 7}
)

func TestFormerOwnerEndsOnlyByEvidence(t *testing.T) {
	gone := after(-10 * time.Second)
	for _, row := range []struct {
		name     string
		evidence lease.Evidence
		ended    bool
	}{
		{"no evidence", lease.Evidence{}, false},
		{"a run of the node's own instance", lease.Evidence{Self: true}, true},
		{"alive, with the pool", lease.Evidence{Alive: true, Boot: 4, Holds: true}, false},
		{"alive, without the pool", lease.Evidence{Alive: true, Boot: 4}, true},
		{"alive in another run, with the pool", lease.Evidence{Alive: true, Boot: 5, Holds: true}, true},
		{"alive, but not listed", lease.Evidence{Alive: true, Boot: 4, Holds: true, GoneSince: gone}, false},
		{"silent, listed", lease.Evidence{Boot: 5}, false},
		{"silent, not listed for less than the list's lag", lease.Evidence{GoneSince: gone.Add(1)}, false},
		{"silent, not listed for long enough", lease.Evidence{GoneSince: gone}, true},
	} {
		require.Equal(t, row.ended, first.Ended(begin, row.evidence), row.name)
	}
}

func TestSuccessionExcludesOwnerThatHandedOver(t *testing.T) {
	s := lease.NewSuccession([]lease.FormerOwner{first, {}, second}, second)
	require.True(t, s.Frozen())
	require.Equal(t, []lease.FormerOwner{first}, s.Waiting())
	earlierRun := lease.FormerOwner{ID: second.ID, Boot: second.Boot - 1}
	s = lease.NewSuccession([]lease.FormerOwner{second}, earlierRun)
	require.True(t, s.Frozen(), "a handover by another run has no effect")
	s = lease.NewSuccession([]lease.FormerOwner{second}, second)
	require.False(t, s.Frozen())
	s = lease.NewSuccession(nil, lease.FormerOwner{})
	require.False(t, s.Frozen())
}

func TestInspectionCoversGrantsOnlyAfterGrantLife(t *testing.T) {
	s := lease.NewSuccession([]lease.FormerOwner{first, second}, lease.FormerOwner{})
	ended := map[lease.FormerOwner]bool{first: true}
	check := func(at time.Time) { s.CheckEnded(at, func(f lease.FormerOwner) bool { return ended[f] }) }
	check(begin)
	require.False(t, s.CoversGrants(after(time.Hour), grantLife), "one of two former owners may still grant")
	ended[second] = true
	check(after(time.Second))
	check(after(time.Minute))
	for _, row := range []struct {
		began  time.Duration
		covers bool
	}{{0, false}, {time.Second, false}, {6*time.Second - 1, false}, {6 * time.Second, true}, {time.Hour, true}} {
		require.Equal(t, row.covers, s.CoversGrants(after(row.began), grantLife), "inspection begun at %v, end first seen at 1s", row.began)
	}
	ended[first] = false
	check(after(2 * time.Minute))
	require.True(t, s.CoversGrants(after(6*time.Second), grantLife), "an end that was seen once stays")
}

func TestSettleReportsTrueOnce(t *testing.T) {
	s := lease.NewSuccession([]lease.FormerOwner{first}, lease.FormerOwner{})
	require.True(t, s.SettleOnce())
	require.False(t, s.SettleOnce(), "the inspection of a second endpoint needs no second write")
}

func TestUnknownSuccessionIsFrozen(t *testing.T) {
	s := lease.UnknownSuccession()
	require.True(t, s.Frozen())
	require.Empty(t, s.Waiting())
	s = s.Unfrozen()
	require.False(t, s.Frozen())
	s.CheckEnded(begin, func(lease.FormerOwner) bool { return true })
	require.False(t, s.CoversGrants(after(time.Hour), grantLife), "without a freeze there is nothing to lift")
}
