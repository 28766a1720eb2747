// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

const (
	// allowedPerRestart is how many endpoints a request or a part may end more for each loss of all instances.
	allowedPerRestart = 3
	// turnPause is the pause between two turns of callers that send together.
	turnPause = 400 * time.Millisecond
	// restartObservation is how long callers go on after each loss of all instances.
	restartObservation = 2500 * time.Millisecond
	// quietTime is how long nothing must have ended before the first loss, more than the shortest holds.
	quietTime = 3 * time.Second
	// allowedTrials is how many endpoints trials may end besides where the first loss comes before the long holds.
	allowedTrials = 2
)

// waitUntilKnown waits until enough endpoints have ended for a cause to be known, and settledAge more.
func (c *crashSite) waitUntilKnown(runs func() []time.Time) {
	c.waitFor("endpoints have ended", func() bool { return len(runs()) >= minCrashes })
	time.Sleep(settledAge)
}

// waitUntilQuiet waits until nothing has been run for a time.
func (c *crashSite) waitUntilQuiet(runs func() []time.Time) {
	c.waitWithin(2*waitTimeout, "no endpoint ends any more", func() bool {
		times := runs()
		return len(times) >= minCrashes && time.Since(times[len(times)-1]) > quietTime
	})
}

// loseAllRepeatedly loses all instances again and again, and checks how many endpoints end after that, beyond the given number.
func (c *crashSite) loseAllRepeatedly(t *testing.T, runs func() []time.Time, beyond int) {
	t.Helper()
	before := len(runs())
	for restart := range restarts {
		c.restartAll()
		time.Sleep(restartObservation)
		t.Logf("%d endpoints ended after %d losses of all instances, %d before", len(runs())-before, restart+1, before)
	}
	c.end()
	assert.LessOrEqual(t, len(runs())-before, beyond+restarts*allowedPerRestart, "endpoints that ended since all instances were lost")
}

// TestCrashingRequestEndsFewEndpointsOverLossesOfAllInstances guards against a request that crashes endpoints anew each time all instances have
// forgotten it.
func TestCrashingRequestEndsFewEndpointsOverLossesOfAllInstances(t *testing.T) {
	for _, entries := range []int{3, 6} {
		for _, kind := range []string{"unsafe", "resumable stream"} {
			t.Run(fmt.Sprintf("%d instances, %s", entries, kind), func(t *testing.T) {
				t.Parallel()
				c := newCrashSite(t, entries, workersPerService)
				c.waitForInitialWorkersGone()
				request := crashingRequestsOfEachKind()[kind]
				c.repeatUntilEnd(turnPause, func(int, int) { request.sendTogether(c) })
				runs := func() []time.Time { return request.startTimes(c) }
				c.waitUntilQuiet(runs)
				c.loseAllRepeatedly(t, runs, 0)
			})
		}
	}
}

// TestCrashingRequestEndsFewEndpointsThoughAllInstancesAreLostSoon guards against the same where all are lost right after the first ends.
func TestCrashingRequestEndsFewEndpointsThoughAllInstancesAreLostSoon(t *testing.T) {
	for kind, request := range crashingRequestsOfEachKind() {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			c := newCrashSite(t, 6, workersPerService)
			c.waitForInitialWorkersGone()
			c.repeatUntilEnd(turnPause, func(int, int) { request.sendTogether(c) })
			runs := func() []time.Time { return request.startTimes(c) }
			c.waitUntilKnown(runs)
			c.loseAllRepeatedly(t, runs, allowedTrials)
		})
	}
}

// TestCrashingPartEndsFewEndpointsOverLossesOfAllInstances guards against the same by a part of prompts that are never alike.
func TestCrashingPartEndsFewEndpointsOverLossesOfAllInstances(t *testing.T) {
	for _, entries := range []int{3, 6} {
		t.Run(fmt.Sprint(entries, " instances"), func(t *testing.T) {
			t.Parallel()
			c := newCrashSiteWithPart(t, entries, workersPerService, deadlyPart)
			c.waitForInitialWorkersGone()
			sender := &promptSender{site: c}
			var sound soundRequests
			for _, request := range promptKinds() {
				for range 2 {
					sound.repeat(sender, request)
				}
			}
			deadly := &deadlyRequests{part: deadlyPart + "1", ids: make(map[string]bool)}
			for range crashingCallers {
				c.repeatRandomly(turnPause, func() {
					deadly.send(sender, call{path: standin.UnsafePrefix + "x?work_ms=60"}, randomMiddle()+deadly.part+":50,")
				})
			}
			runs := func() []time.Time { return deadly.runs(c) }
			c.waitUntilQuiet(runs)
			c.loseAllRepeatedly(t, runs, 0)
		})
	}
}
