// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/engine"
	"github.com/shelfledge/shelfledge/modules/fingerprint"
	"github.com/shelfledge/shelfledge/services/quarantine"
)

// crashes keeps requests from endpoints that they would crash, by what this instance saw; it is safe for concurrent use.
type crashes struct {
	mutex   sync.Mutex
	table   *quarantine.Table
	sweptAt time.Time
}

// crashSweep is the pause between two sweeps of old records.
const crashSweep = time.Second

func newCrashes() *crashes {
	return &crashes{table: quarantine.NewTable()}
}

// admit gives the refusal of a request that is held back; nil for others.
func (c *crashes) admit(now time.Time, request fingerprint.Fingerprint) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.Sub(c.sweptAt) >= crashSweep {
		c.sweptAt = now
		c.table.Sweep(now)
	}
	hold, held := c.table.Admit(now, request)
	// No other instance is told.
	c.table.TakeUnsent(now)
	if !held {
		return nil
	}
	return ErrNotRun{Reason: fleet.ReasonCrashes, RetryAfter: hold.Remaining, Detail: "endpoints ended while they had the request " + request.String()}
}

// crashed notes that an endpoint has ended while it had a request.
func (c *crashes) crashed(now time.Time, request fingerprint.Fingerprint, endpoint string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.table.RecordCrash(now, request, endpoint)
}

// unanswered notes that an endpoint that went on, as far as was seen, may still have a request.
func (c *crashes) unanswered(now time.Time, request fingerprint.Fingerprint, endpoint string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.table.RecordUnanswered(now, request, endpoint)
}

// answered notes a whole answer to a request.
func (c *crashes) answered(now time.Time, request fingerprint.Fingerprint) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.table.RecordAnswered(now, request)
}

// fingerprint tells the job's request from others.
func (j *Job) fingerprint() fingerprint.Fingerprint {
	return fingerprint.Content{
		Method: j.Method, Path: j.Path, Adapter: j.Request.Adapter.String(), Body: j.Body, Length: int64(len(j.Body)),
	}.Fingerprint()
}

// noteEnd looks whether the endpoint has ended under the request, which then counts against the request: the next endpoint that gets it may
// end, too. A whole answer speaks for it.
func (r *run) noteEnd(ctx context.Context, err error) {
	now := r.service.options.Now()
	endpoint := r.ticket.Endpoint + "/" + r.ticket.Incarnation
	switch {
	case err == nil:
		r.service.crashes.answered(now, r.fingerprint)
	case engine.IsErrNotRun(err):
	case ctx.Err() == nil && r.service.options.Refuses(ctx, r.service.endpoints[r.ticket.Endpoint].Address):
		r.service.crashes.crashed(now, r.fingerprint, endpoint)
	default:
		r.service.crashes.unanswered(now, r.fingerprint, endpoint)
	}
}
