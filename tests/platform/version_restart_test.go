// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"net/http"
	"testing"
	"time"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// TestFormerVersionEndsInTimeAlthoughAllInstancesRestart guards against requests that begin on a former version too late, since every instance that
// knew how long ago the newer one was named was lost.
func TestFormerVersionEndsInTimeAlthoughAllInstancesRestart(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		// losses are the times of the losses after the name. With whileDown the version is named during the first loss.
		losses    []time.Duration
		whileDown bool
	}{
		"named before a loss": {[]time.Duration{0, time.Second, 2 * time.Second}, false},
		"named during a loss": {[]time.Duration{0, time.Second, 2 * time.Second}, true},
		"lost at the limit":   {[]time.Duration{versionLimit - 2200*time.Millisecond, versionLimit - 1200*time.Millisecond, versionLimit - 200*time.Millisecond}, false},
		"lost a while apart":  {[]time.Duration{0, 2 * time.Second, versionLimit - 500*time.Millisecond}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 3)
			s.holdFormerVersion()
			c := s.startCallers(20*time.Millisecond, s.callsAtEach(2, call{path: standin.LongDeadlinePrefix + "x", adapter: "a1"})...)
			s.waitFor("the former version serves", func() bool { return c.count(http.StatusOK) > 0 })
			if test.whileDown {
				s.killAll()
			}
			acknowledged := s.nameSecondVersion()
			for loss, at := range test.losses {
				time.Sleep(time.Until(acknowledged.Add(at)))
				if loss > 0 || !test.whileDown {
					s.killAll()
				}
				s.startAll()
			}
			time.Sleep(time.Until(acknowledged.Add(2 * versionLimit)))
			c.end()
			s.assertStartedInTime(acknowledged)
			t.Logf("the last run on the former version began %s after the name", s.lastRunStart().Sub(acknowledged))
		})
	}
}

// lastRunStart returns when the last request began at an endpoint with models.
func (s *site) lastRunStart() time.Time {
	var last time.Time
	for _, worker := range s.models {
		for _, run := range worker.Runs() {
			if run.Began.After(last) {
				last = run.Began
			}
		}
	}
	return last
}
