// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

// TestSoftwareThatDidNotFitIntoAnswerIsNotRuledOut guards against streams that go on at the wrong software, since answers had room for those alone that
// left too long ago.
func TestSoftwareThatDidNotFitIntoAnswerIsNotRuledOut(t *testing.T) {
	const formerSoftwares = 13
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3)
		defer func() { f.close() }()
		named := func(version string) string { return version + strings.Repeat("x", 100) }
		for i := range formerSoftwares {
			f.observe(named("1.0"), named(fmt.Sprintf("0.%02d", i)))
			time.Sleep(settledAge)
		}
		f.observe(named("1.0"))
		time.Sleep(2 * window)
		f.network.store.Fail(errDown)
		f.observe(named("1.0"), named("2.0"))
		time.Sleep(settledAge)
		f.observe(named("1.0"))
		f.restart(t, 0, named("1.0"))
		time.Sleep(settling)
		for key := range origin.Key(20) {
			assertNotJoined(t, origin.Origin{Service: "chat", Software: named("2.0")}, f.services[0], lateKey+key)
		}
	})
}
