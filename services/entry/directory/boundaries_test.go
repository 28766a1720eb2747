// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

const (
	ok      = directory.Succeeded
	failed  = directory.Errored
	refused = directory.Refused
	broken  = directory.Broken
	neutral = directory.Neutral
)

// TestEjectionThresholds runs exchanges with the only endpoint of a service.
func TestEjectionThresholds(t *testing.T) {
	for name, test := range map[string]struct {
		outcomes []directory.Outcome
		ejected  bool
	}{
		"no exchanges":                             {nil, false},
		"one broken":                               {[]directory.Outcome{broken}, false},
		"two broken in a row":                      {[]directory.Outcome{broken, broken}, true},
		"two broken, an error in between":          {[]directory.Outcome{broken, failed, broken}, false},
		"two broken, a success in between":         {[]directory.Outcome{broken, ok, broken}, false},
		"two broken, a refusal in between":         {[]directory.Outcome{broken, refused, broken}, true},
		"two broken, a neutral outcome in between": {[]directory.Outcome{broken, neutral, broken}, true},
		"four errors, below the minimum":           {[]directory.Outcome{failed, failed, failed, failed}, false},
		"five errors":                              {[]directory.Outcome{failed, failed, failed, failed, failed}, true},
		"rate of 0.2 after five":                   {[]directory.Outcome{ok, ok, ok, ok, failed}, false},
		"rate of 0.288 after five":                 {[]directory.Outcome{ok, ok, failed, failed, ok}, false},
		"rate of 0.299 after nine":                 {[]directory.Outcome{failed, ok, ok, failed, ok, ok, ok, ok, failed}, false},
		"rate of 0.302 after five":                 {[]directory.Outcome{ok, failed, ok, ok, failed}, true},
		"rate of 0.328 after five":                 {[]directory.Outcome{ok, ok, failed, ok, failed}, true},
		"refusals and neutral outcomes":            {[]directory.Outcome{refused, neutral, refused, neutral, refused, neutral}, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory.New()
			d.Put(endpoint("e", deployment.Ready), 1)
			for _, outcome := range test.outcomes {
				exchange(d, start, "e", outcome)
			}
			assert.Equal(t, test.ejected, d.Endpoint("e").Health.Ejected(start))
		})
	}
}

// TestEjectionComparesWithServiceFailureRate: an endpoint whose failure rate is 0.672 after five errors is ejected only above 2.5 times the
// mean of the other endpoints.
func TestEjectionComparesWithServiceFailureRate(t *testing.T) {
	for name, test := range map[string]struct {
		others  []directory.Outcome
		ejected bool
	}{
		"the other has no exchanges":                      {nil, true},
		"the other failed once, below the minimum":        {[]directory.Outcome{failed}, true},
		"the other's rate is 0.16":                        {[]directory.Outcome{failed, ok}, true},
		"the other's rate is 0.36":                        {[]directory.Outcome{failed, failed}, false},
		"the other's rate is 0.267, 2.5 times just below": {[]directory.Outcome{failed, ok, failed, ok, ok, ok, failed, ok}, true},
		"the other's rate is 0.272, 2.5 times just above": {[]directory.Outcome{failed, ok, ok, ok, failed, failed, ok, ok}, false},
		"the other has no failures":                       {[]directory.Outcome{ok, ok}, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory.New()
			d.Put(endpoint("e", deployment.Ready), 1)
			d.Put(endpoint("other", deployment.Ready), 2)
			for _, outcome := range test.others {
				exchange(d, start, "other", outcome)
			}
			for range 5 {
				exchange(d, start, "e", failed)
			}
			assert.Equal(t, test.ejected, d.Endpoint("e").Health.Ejected(start))
		})
	}
}

// TestEjectionLengthGrowsAfterFailedTrials fails every trial: the ejections last 0.8, 1.6, 3.2, 6 and 6 s.
func TestEjectionLengthGrowsAfterFailedTrials(t *testing.T) {
	d := directory.New()
	d.Put(endpoint("e", deployment.Ready), 1)
	now := start
	exchange(d, now, "e", broken)
	exchange(d, now, "e", broken)
	health := func() *directory.Health { return &d.Endpoint("e").Health }
	for _, length := range []time.Duration{800, 1600, 3200, 6000, 6000} {
		end := now.Add(length * time.Millisecond)
		assert.True(t, health().Ejected(end.Add(-1)), "just before its end")
		assert.False(t, health().TrialDue(end.Add(-1)))
		assert.False(t, health().Ejected(end), "at its end")
		require.True(t, health().TrialDue(end))
		now = end
		exchange(d, now, "e", failed)
	}
	now = now.Add(6 * time.Second)
	exchange(d, now, "e", ok)
	exchange(d, now, "e", broken)
	exchange(d, now, "e", broken)
	assert.False(t, health().Ejected(now.Add(800*time.Millisecond)), "a successful trial resets the ejection length")
}

// TestHallAvoidanceThresholds: after three broken exchanges a hall is avoided for 0.6, 1.2, 2.4 and 2.4 s.
func TestHallAvoidanceThresholds(t *testing.T) {
	for name, test := range map[string]struct {
		outcomes []directory.Outcome
		avoided  bool
	}{
		"two broken":                   {[]directory.Outcome{broken, broken}, false},
		"three broken":                 {[]directory.Outcome{broken, broken, broken}, true},
		"neutral outcomes in between":  {[]directory.Outcome{broken, neutral, broken, neutral, broken}, true},
		"a refusal in between":         {[]directory.Outcome{broken, broken, refused, broken}, false},
		"an error in between":          {[]directory.Outcome{broken, broken, failed, broken}, false},
		"an answer after three broken": {[]directory.Outcome{broken, broken, broken, failed}, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDirectoryWithFarHall()
			for i, outcome := range test.outcomes {
				exchange(d, start, []string{"a", "b", "c"}[i%3], outcome)
			}
			assert.Equal(t, test.avoided, d.Endpoint("unused").Avoided(start))
		})
	}
	d := newDirectoryWithFarHall()
	now := start
	exchange(d, now, "a", broken)
	exchange(d, now, "b", broken)
	for _, length := range []time.Duration{600, 1200, 2400, 2400} {
		exchange(d, now, "c", broken)
		end := now.Add(length * time.Millisecond)
		assert.True(t, d.Endpoint("unused").Avoided(end.Add(-1)), "just before the end of %d ms", length)
		assert.False(t, d.Endpoint("unused").Avoided(end), "at the end of %d ms", length)
		now = end
	}
}

// newDirectoryWithFarHall returns a directory of one hall with three endpoints that get exchanges and one that gets none.
func newDirectoryWithFarHall() *directory.Directory {
	d := directory.New()
	for i, id := range []string{"a", "b", "c", "unused"} {
		far := endpoint(id, deployment.Ready)
		far.Hall = "far"
		d.Put(far, int64(i+1))
	}
	return d
}

func TestHeldAdapterRetention(t *testing.T) {
	for name, test := range map[string]struct {
		after time.Duration
		held  bool
	}{
		"just below": {10*time.Minute - 1, true},
		"at":         {10 * time.Minute, true},
		"just above": {10*time.Minute + 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory.New()
			d.Put(endpoint("e", deployment.Ready), 1)
			d.UpdateHeld(start)
			d.SetOffered("e", nil, nil)
			d.UpdateHeld(start.Add(test.after))
			_, held := d.Endpoint("e").Held[adapter]
			assert.Equal(t, test.held, held)
		})
	}
}

// TestMissingAdapterRetention: an answer that an adapter is missing overrides the description for 1.5 s.
func TestMissingAdapterRetention(t *testing.T) {
	d := directory.New()
	d.Put(endpoint("e", deployment.Ready), 1)
	d.MarkMissing(start, "e", adapter)
	end := start.Add(1500 * time.Millisecond)
	assert.False(t, d.Endpoint("e").Holds(end.Add(-1), adapter, 0), "just before")
	assert.False(t, d.Endpoint("e").Holds(end, adapter, 0), "at the end")
	assert.True(t, d.Endpoint("e").Holds(end.Add(1), adapter, 0), "just after")
}

// TestOlderRevisionsAreIgnored applies descriptions and removals of several revisions to an endpoint of revision 5.
func TestOlderRevisionsAreIgnored(t *testing.T) {
	for revision, applied := range map[int64]bool{0: false, 4: false, 5: true, 6: true} {
		d := directory.New()
		d.Put(endpoint("e", deployment.Ready), 5)
		newer := endpoint("e", deployment.Ready)
		newer.Slots = 7
		assert.Equal(t, applied, d.Put(newer, revision), "description of revision %d", revision)
		assert.Equal(t, applied, d.Endpoint("e").Slots == 7, "description of revision %d", revision)
	}
	for revision, removed := range map[int64]bool{0: false, 4: false, 5: true, 6: true} {
		d := directory.New()
		d.Put(endpoint("e", deployment.Ready), 5)
		assert.Equal(t, removed, d.Remove("e", revision), "removal of revision %d", revision)
	}
	for revision, added := range map[int64]bool{6: false, 7: false, 8: true} {
		d := directory.New()
		d.Remove("e", 7)
		assert.Equal(t, added, d.Put(endpoint("e", deployment.Ready), revision), "removed at 7, described at %d", revision)
	}
}

func TestUnknownEndpointIsIgnored(t *testing.T) {
	d := directory.New()
	exchange(d, start, "unknown", broken)
	d.MarkMissing(start, "unknown", adapter)
	d.SetOffered("unknown", []string{"base"}, nil)
	assert.False(t, d.Remove("unknown", 3))
	assert.Nil(t, d.Endpoint("unknown"))
	assert.Zero(t, d.Size())
}
