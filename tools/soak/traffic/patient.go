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
	// leastPause and mostPause bound the pauses of streams whose callers stay: about and beyond the 3.2 s for which callers of their route
	// usually listen. mostPauses is how many events a stream has at most.
	leastPause = 2200 * time.Millisecond
	mostPause  = 4200 * time.Millisecond
	mostPauses = 4
	// slowShare is how many in 100 of these requests are large streams that are read slowly: of slowEvents events, with so much padding that
	// the kernels between endpoint and caller can't hold them.
	slowShare   = 15
	slowEvents  = 32
	slowPadding = 512 << 10
	// slowest bounds for how long a slow caller reads nothing.
	slowest = 6 * time.Second
	// stay is what these callers wait for.
	stay = 15 * time.Second
)

// drawPatient draws a request whose caller stays to its deadline, however long nothing comes.
func drawPatient(random *rand.Rand) *request {
	q := &request{id: fmt.Sprintf("s-%d", identifiers.Add(1)), patience: stay}
	q.body = strings.Repeat("x", random.IntN(mostBody))
	kind, prefix := ledger.Streaming, platformstandin.PausePrefix
	if random.IntN(2) == 0 {
		kind, prefix = ledger.Resumable, platformstandin.PauseResumePrefix
	}
	q.stream(random, kind, prefix)
	q.events = 2 + random.IntN(mostPauses-1)
	pause := leastPause + time.Duration(random.Float64()*float64(mostPause-leastPause))
	if random.IntN(100) < slowShare {
		q.events, q.padding, pause = slowEvents, slowPadding, 0
		q.slow = time.Duration(random.Float64() * float64(slowest))
	}
	q.path = fmt.Sprintf("%sx?events=%d&pause_ms=%d&padding=%d", prefix, q.events, pause.Milliseconds(), q.padding)
	return q
}
