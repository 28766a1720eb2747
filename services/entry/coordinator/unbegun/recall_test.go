// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package unbegun_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/unbegun"
)

func TestRecallStates(t *testing.T) {
	const arm, fire, disarm = "arm", "fire", "disarm"
	for name, test := range map[string]struct {
		steps []string
		// fires are the results of Fire.
		fires    []bool
		canceled bool
		fired    bool
	}{
		"not fired":                            {[]string{arm}, nil, false, false},
		"fired":                                {[]string{arm, fire}, []bool{true}, true, true},
		"fired before it was sent":             {[]string{fire, arm}, []bool{true}, true, true},
		"fired twice":                          {[]string{arm, fire, fire}, []bool{true, false}, true, true},
		"fired after the request began":        {[]string{arm, disarm, fire}, []bool{false}, false, false},
		"fired before the begin was detected":  {[]string{arm, fire, disarm}, []bool{true}, true, true},
		"ended without being sent":             {[]string{disarm, fire}, []bool{false}, false, false},
		"fired, then ended without being sent": {[]string{fire, disarm, arm}, []bool{true}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			recall := &unbegun.Recall{}
			canceled := false
			var fires []bool
			for _, step := range test.steps {
				switch step {
				case arm:
					recall.Arm(func() { canceled = true })
				case fire:
					fires = append(fires, recall.Fire())
				case disarm:
					recall.Disarm()
				}
			}
			assert.Equal(t, test.fires, fires)
			assert.Equal(t, test.canceled, canceled)
			assert.Equal(t, test.fired, recall.Fired())
		})
	}
}

func TestNilRecallNeverFires(t *testing.T) {
	var recall *unbegun.Recall
	recall.Arm(func() { assert.Fail(t, "the request was recalled") })
	assert.False(t, recall.Fire())
	recall.Disarm()
	assert.False(t, recall.Fired())
}

// TestConcurrentFireAndDisarmAgree fires and disarms at the same time. Whichever comes first, both sides must agree on the result.
func TestConcurrentFireAndDisarmAgree(t *testing.T) {
	for range 1000 {
		recall := &unbegun.Recall{}
		var canceled, fired atomic.Bool
		var sides sync.WaitGroup
		sides.Go(func() {
			recall.Arm(func() { canceled.Store(true) })
			recall.Disarm()
		})
		sides.Go(func() { fired.Store(recall.Fire()) })
		sides.Wait()
		assert.Equal(t, fired.Load(), recall.Fired())
		assert.Equal(t, fired.Load(), canceled.Load())
	}
}
