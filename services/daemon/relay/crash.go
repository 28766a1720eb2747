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

// crashRecords holds back requests that crash endpoints, based on the crashes that this instance observed. It is safe for concurrent use.
type crashRecords struct {
	mutex   sync.Mutex
	table   *quarantine.Table
	sweptAt time.Time
}

const (
	// maxSuspectWait is how long a request waits for the decision whether it may be sent although an endpoint ended under it. Its callers
	// may retry after suspectRetryAfter.
	maxSuspectWait    = time.Second
	suspectRetryAfter = time.Second
	// suspectPollInterval is the interval between two checks whether the request is still in flight for another caller.
	suspectPollInterval = 25 * time.Millisecond
)

// crashSweepInterval is the interval between two removals of old records.
const crashSweepInterval = time.Second

func newCrashRecords() *crashRecords {
	return &crashRecords{table: quarantine.NewTable()}
}

// admit decides whether a request may be sent now; see quarantine.Table.Admit.
func (c *crashRecords) admit(now time.Time, request fingerprint.Fingerprint) (quarantine.Hold, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.Sub(c.sweptAt) >= crashSweepInterval {
		c.sweptAt = now
		c.table.Sweep(now)
	}
	hold, held := c.table.Admit(now, request)
	// Discards the updates for other instances, since this program does not send any.
	c.table.TakeUnsent(now)
	if !held {
		c.table.RecordSent(request)
	}
	return hold, held
}

// recordEnded records that an admitted request is no longer in flight.
func (c *crashRecords) recordEnded(request fingerprint.Fingerprint) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.table.RecordEnded(request)
}

// recordCrash records that an endpoint ended while it was running a request.
func (c *crashRecords) recordCrash(now time.Time, request fingerprint.Fingerprint, endpoint string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.table.RecordCrash(now, request, endpoint)
}

// recordUnanswered records that a request got no answer from an endpoint that was not seen to end, so that the request may still run.
func (c *crashRecords) recordUnanswered(now time.Time, request fingerprint.Fingerprint, endpoint string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.table.RecordUnanswered(now, request, endpoint)
}

// recordAnswered records a complete answer to a request.
func (c *crashRecords) recordAnswered(now time.Time, request fingerprint.Fingerprint) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.table.RecordAnswered(now, request)
}

// admit waits until the request may be sent as far as the endpoints that ended under it are concerned, or returns its refusal. After it returned
// nil, recordEnded must be called when the attempt has ended.
func (r *run) admit(ctx context.Context) error {
	wait := time.NewTimer(maxSuspectWait)
	defer wait.Stop()
	for {
		hold, held := r.service.crashRecords.admit(r.service.options.Now(), r.fingerprint)
		if !held {
			return nil
		}
		refusal := ErrNotRun{
			Reason: fleet.ReasonCrashesEndpoints, RetryAfter: max(hold.Remaining, suspectRetryAfter),
			Detail: "endpoints ended while they had the request " + r.fingerprint.String(),
		}
		if !hold.Pending {
			refusal.RetryAfter = hold.Remaining
			return refusal
		}
		select {
		case <-time.After(max(hold.Remaining, suspectPollInterval)):
		case <-wait.C:
			return refusal
		case <-ctx.Done():
			return ErrNotRun{Reason: fleet.ReasonCancelled}
		}
	}
}

// fingerprint returns the fingerprint of the job's request, which identifies repeats of the same request.
func (j *Job) fingerprint() fingerprint.Fingerprint {
	return fingerprint.Content{
		Method: j.Method, Path: j.Path, Adapter: j.Request.Adapter.String(), Body: j.Body, Length: int64(len(j.Body)),
	}.Fingerprint()
}

// recordOutcome records whether the endpoint ended while it was running the request. That counts against the request, since it may crash the next
// endpoint, too. A complete answer counts in its favor.
func (r *run) recordOutcome(ctx context.Context, err error) {
	now := r.service.options.Now()
	endpoint := r.ticket.Endpoint + "/" + r.ticket.Incarnation
	switch {
	case err == nil:
		r.service.crashRecords.recordAnswered(now, r.fingerprint)
	case engine.IsErrNotRun(err):
	case ctx.Err() == nil && r.service.options.RefusesConnections(ctx, r.service.endpoints[r.ticket.Endpoint].Address):
		r.service.crashRecords.recordCrash(now, r.fingerprint, endpoint)
	default:
		r.service.crashRecords.recordUnanswered(now, r.fingerprint, endpoint)
	}
}
