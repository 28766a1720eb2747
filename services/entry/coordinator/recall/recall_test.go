// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package recall_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/recall"
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
			requestRecall := &recall.Recall{}
			canceled := false
			var fires []bool
			for _, step := range test.steps {
				switch step {
				case arm:
					requestRecall.Arm(func() { canceled = true })
				case fire:
					fires = append(fires, requestRecall.Fire())
				case disarm:
					requestRecall.Disarm()
				}
			}
			assert.Equal(t, test.fires, fires)
			assert.Equal(t, test.canceled, canceled)
			assert.Equal(t, test.fired, requestRecall.Fired())
		})
	}
}

func TestNilRecallNeverFires(t *testing.T) {
	var requestRecall *recall.Recall
	requestRecall.Arm(func() { assert.Fail(t, "the request was recalled") })
	assert.False(t, requestRecall.Fire())
	requestRecall.Disarm()
	assert.False(t, requestRecall.Fired())
}

// TestConcurrentFireAndDisarmAgree fires and disarms at the same time. Whichever comes first, both sides must agree on the result.
func TestConcurrentFireAndDisarmAgree(t *testing.T) {
	for range 1000 {
		requestRecall := &recall.Recall{}
		var canceled, fired atomic.Bool
		var sides sync.WaitGroup
		sides.Go(func() {
			requestRecall.Arm(func() { canceled.Store(true) })
			requestRecall.Disarm()
		})
		sides.Go(func() { fired.Store(requestRecall.Fire()) })
		sides.Wait()
		assert.Equal(t, fired.Load(), requestRecall.Fired())
		assert.Equal(t, fired.Load(), canceled.Load())
	}
}
