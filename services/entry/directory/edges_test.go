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

// TestEdgesOfEjection plays exchanges with one endpoint whose service has no other.
func TestEdgesOfEjection(t *testing.T) {
	for name, test := range map[string]struct {
		outcomes []directory.Outcome
		ejected  bool
	}{
		"nothing known":                         {nil, false},
		"one broken":                            {[]directory.Outcome{broken}, false},
		"two broken in a row":                   {[]directory.Outcome{broken, broken}, true},
		"two broken, an error in between":       {[]directory.Outcome{broken, failed, broken}, false},
		"two broken, a success in between":      {[]directory.Outcome{broken, ok, broken}, false},
		"two broken, a refusal in between":      {[]directory.Outcome{broken, refused, broken}, true},
		"two broken, a caller left in between":  {[]directory.Outcome{broken, neutral, broken}, true},
		"four errors, too few to count":         {[]directory.Outcome{failed, failed, failed, failed}, false},
		"five errors":                           {[]directory.Outcome{failed, failed, failed, failed, failed}, true},
		"rate of 0.2 after five":                {[]directory.Outcome{ok, ok, ok, ok, failed}, false},
		"rate of 0.288 after five":              {[]directory.Outcome{ok, ok, failed, failed, ok}, false},
		"rate of 0.299 after nine":              {[]directory.Outcome{failed, ok, ok, failed, ok, ok, ok, ok, failed}, false},
		"rate of 0.302 after five":              {[]directory.Outcome{ok, failed, ok, ok, failed}, true},
		"rate of 0.328 after five":              {[]directory.Outcome{ok, ok, failed, ok, failed}, true},
		"refusals and callers that left do not": {[]directory.Outcome{refused, neutral, refused, neutral, refused, neutral}, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory.New()
			d.Put(endpoint("e", deployment.Ready), 1)
			for _, outcome := range test.outcomes {
				finish(d, start, "e", outcome)
			}
			assert.Equal(t, test.ejected, d.Endpoint("e").Health.Ejected(start))
		})
	}
}

// TestEdgesOfComparingWithTheService: an endpoint whose rate is 0.672 after five errors needs 2.5 times the others' mean.
func TestEdgesOfComparingWithTheService(t *testing.T) {
	for name, test := range map[string]struct {
		others  []directory.Outcome
		ejected bool
	}{
		"the other has not been asked":                    {nil, true},
		"the other failed once, too little to count":      {[]directory.Outcome{failed}, true},
		"the other's rate is 0.16":                        {[]directory.Outcome{failed, ok}, true},
		"the other's rate is 0.36":                        {[]directory.Outcome{failed, failed}, false},
		"the other's rate is 0.267, 2.5 times just below": {[]directory.Outcome{failed, ok, failed, ok, ok, ok, failed, ok}, true},
		"the other's rate is 0.272, 2.5 times just above": {[]directory.Outcome{failed, ok, ok, ok, failed, failed, ok, ok}, false},
		"the other is sound":                              {[]directory.Outcome{ok, ok}, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory.New()
			d.Put(endpoint("e", deployment.Ready), 1)
			d.Put(endpoint("other", deployment.Ready), 2)
			for _, outcome := range test.others {
				finish(d, start, "other", outcome)
			}
			for range 5 {
				finish(d, start, "e", failed)
			}
			assert.Equal(t, test.ejected, d.Endpoint("e").Health.Ejected(start))
		})
	}
}

// TestEdgesOfTheLengthOfAnEjection fails every trial: 0.8, 1.6, 3.2, 6 and 6 s.
func TestEdgesOfTheLengthOfAnEjection(t *testing.T) {
	d := directory.New()
	d.Put(endpoint("e", deployment.Ready), 1)
	now := start
	finish(d, now, "e", broken)
	finish(d, now, "e", broken)
	health := func() *directory.Health { return &d.Endpoint("e").Health }
	for _, length := range []time.Duration{800, 1600, 3200, 6000, 6000} {
		end := now.Add(length * time.Millisecond)
		assert.True(t, health().Ejected(end.Add(-1)), "just before its end")
		assert.False(t, health().TrialDue(end.Add(-1)))
		assert.False(t, health().Ejected(end), "at its end")
		require.True(t, health().TrialDue(end))
		now = end
		finish(d, now, "e", failed)
	}
	now = now.Add(6 * time.Second)
	finish(d, now, "e", ok)
	finish(d, now, "e", broken)
	finish(d, now, "e", broken)
	assert.False(t, health().Ejected(now.Add(800*time.Millisecond)), "a success makes the next ejection a short one")
}

// TestEdgesOfAnUnreachableHall breaks every exchange: after three it is avoided for 0.6, 1.2, 2.4 and 2.4 s.
func TestEdgesOfAnUnreachableHall(t *testing.T) {
	for name, test := range map[string]struct {
		outcomes []directory.Outcome
		avoided  bool
	}{
		"two broken":                   {[]directory.Outcome{broken, broken}, false},
		"three broken":                 {[]directory.Outcome{broken, broken, broken}, true},
		"callers that left in between": {[]directory.Outcome{broken, neutral, broken, neutral, broken}, true},
		"a refusal in between":         {[]directory.Outcome{broken, broken, refused, broken}, false},
		"an error in between":          {[]directory.Outcome{broken, broken, failed, broken}, false},
		"an answer after the cut":      {[]directory.Outcome{broken, broken, broken, failed}, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := hall()
			for i, outcome := range test.outcomes {
				finish(d, start, []string{"a", "b", "c"}[i%3], outcome)
			}
			assert.Equal(t, test.avoided, d.Endpoint("unused").Avoided(start))
		})
	}
	d := hall()
	now := start
	finish(d, now, "a", broken)
	finish(d, now, "b", broken)
	for _, length := range []time.Duration{600, 1200, 2400, 2400} {
		finish(d, now, "c", broken)
		end := now.Add(length * time.Millisecond)
		assert.True(t, d.Endpoint("unused").Avoided(end.Add(-1)), "just before the end of %d ms", length)
		assert.False(t, d.Endpoint("unused").Avoided(end), "at the end of %d ms", length)
		now = end
	}
}

// hall has three endpoints of one hall that are used, and one that is not.
func hall() *directory.Directory {
	d := directory.New()
	for i, id := range []string{"a", "b", "c", "unused"} {
		one := endpoint(id, deployment.Ready)
		one.Hall = "far"
		d.Put(one, int64(i+1))
	}
	return d
}

func TestEdgesOfTheMemoryOfHeldAdapters(t *testing.T) {
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
			d.RememberHeld(start)
			d.SetOffered("e", nil, nil)
			d.RememberHeld(start.Add(test.after))
			_, held := d.Endpoint("e").Held[one]
			assert.Equal(t, test.held, held)
		})
	}
}

// TestEdgesOfALackingAdapter: what an endpoint said outweighs its description for 1.5 s.
func TestEdgesOfALackingAdapter(t *testing.T) {
	d := directory.New()
	d.Put(endpoint("e", deployment.Ready), 1)
	d.NoteMissing(start, "e", one)
	end := start.Add(1500 * time.Millisecond)
	assert.False(t, d.Endpoint("e").Holds(end.Add(-1), one, 0), "just before")
	assert.False(t, d.Endpoint("e").Holds(end, one, 0), "at the end")
	assert.True(t, d.Endpoint("e").Holds(end.Add(1), one, 0), "just after")
}

// TestEdgesOfRevisions has an endpoint known as of revision 5.
func TestEdgesOfRevisions(t *testing.T) {
	for revision, taken := range map[int64]bool{0: false, 4: false, 5: true, 6: true} {
		d := directory.New()
		d.Put(endpoint("e", deployment.Ready), 5)
		newer := endpoint("e", deployment.Ready)
		newer.Slots = 7
		assert.Equal(t, taken, d.Put(newer, revision), "description of revision %d", revision)
		assert.Equal(t, taken, d.Endpoint("e").Slots == 7, "description of revision %d", revision)
	}
	for revision, removed := range map[int64]bool{0: false, 4: false, 5: true, 6: true} {
		d := directory.New()
		d.Put(endpoint("e", deployment.Ready), 5)
		assert.Equal(t, removed, d.Remove("e", revision), "removal of revision %d", revision)
	}
	for revision, back := range map[int64]bool{6: false, 7: false, 8: true} {
		d := directory.New()
		d.Remove("e", 7)
		assert.Equal(t, back, d.Put(endpoint("e", deployment.Ready), revision), "gone at 7, described at %d", revision)
	}
}

func TestAnUnknownEndpointChangesNothing(t *testing.T) {
	d := directory.New()
	finish(d, start, "unknown", broken)
	d.NoteMissing(start, "unknown", one)
	d.SetOffered("unknown", []string{"base"}, nil)
	assert.False(t, d.Remove("unknown", 3))
	assert.Nil(t, d.Endpoint("unknown"))
	assert.Zero(t, d.Size())
}
