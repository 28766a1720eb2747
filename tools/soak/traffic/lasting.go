// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package traffic

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
)

const (
	// minLastingEvents and maxLastingEvents bound the events of a lasting stream, and lastingPause is the pause between two of them.
	minLastingEvents = 15
	maxLastingEvents = 35
	lastingPause     = 100 * time.Millisecond
	// lastingTimeout is the time-out of lasting streams. It leaves time to try several times after a kill near their end.
	lastingTimeout = 11 * time.Second
)

// drawLasting returns a random stream of seconds on a resumable route.
func drawLasting(random *rand.Rand) *request {
	q := &request{id: nextID(), callTimeout: lastingTimeout, lasting: true}
	q.body = strings.Repeat("x", random.IntN(maxBody))
	q.stream(random, ledger.Resumable, platformstandin.PauseResumePrefix)
	q.events = minLastingEvents + random.IntN(maxLastingEvents-minLastingEvents+1)
	q.path = fmt.Sprintf("%sx?events=%d&pause_ms=%d", platformstandin.PauseResumePrefix, q.events, lastingPause.Milliseconds())
	return q
}
