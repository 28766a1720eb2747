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
	// minEventPause and maxEventPause bound the pauses between the events of pausing streams. They range from below to above the 3.2 s for
	// which callers of such a route usually listen. maxPausingEvents is the greatest number of events of a pausing stream.
	minEventPause    = 2200 * time.Millisecond
	maxEventPause    = 4200 * time.Millisecond
	maxPausingEvents = 4
	// slowPercent is the percentage of patient requests that are large streams and are read slowly. They have slowEvents events, each with
	// slowPadding bytes of padding, which is more than the socket buffers between endpoint and caller can hold.
	slowPercent = 15
	slowEvents  = 32
	slowPadding = 512 << 10
	// maxReadDelay bounds how long a slow caller reads nothing.
	maxReadDelay = 6 * time.Second
	// patientTimeout is the time-out of patient requests.
	patientTimeout = 15 * time.Second
)

// drawPatient returns a random request whose caller waits until its deadline even if no bytes arrive for a long time.
func drawPatient(random *rand.Rand) *request {
	q := &request{id: nextID(), callTimeout: patientTimeout}
	q.body = strings.Repeat("x", random.IntN(maxBody))
	kind, prefix := ledger.Streaming, platformstandin.PausePrefix
	if random.IntN(2) == 0 {
		kind, prefix = ledger.Resumable, platformstandin.PauseResumePrefix
	}
	q.stream(random, kind, prefix)
	q.events = 2 + random.IntN(maxPausingEvents-1)
	pause := minEventPause + time.Duration(random.Float64()*float64(maxEventPause-minEventPause))
	if random.IntN(100) < slowPercent {
		q.events, q.padding, pause = slowEvents, slowPadding, 0
		q.readDelay = time.Duration(random.Float64() * float64(maxReadDelay))
	}
	q.path = fmt.Sprintf("%sx?events=%d&pause_ms=%d&padding=%d", prefix, q.events, pause.Milliseconds(), q.padding)
	return q
}
