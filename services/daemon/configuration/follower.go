// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package configuration

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/kv"
)

// Follower watches the head key and publishes new records. In each hall, only one instance watches at a time.
type Follower struct {
	reader reader
	// publish passes records to the control goroutine.
	publish func(fleet.Records)
	// currentRevision returns the revision in force on this instance.
	currentRevision func() int64
	log             *logrus.Entry
	now             func() time.Time
	mutex           sync.Mutex
	cancel          context.CancelFunc
	running         sync.WaitGroup
	stopped         bool
}

// NewFollower returns a follower that does not watch until SetWatching is called. The function publish receives the records
// that are read, and currentRevision returns the revision in force on this instance.
func NewFollower(client *kv.Client, prefix string, publish func(fleet.Records), currentRevision func() int64, log *logrus.Entry, now func() time.Time) *Follower {
	return &Follower{reader: reader{client: client, keys: keys{prefix: prefix}}, publish: publish, currentRevision: currentRevision, log: log, now: now}
}

// SetWatching starts or stops the watch. It has no effect after Stop.
func (f *Follower) SetWatching(on bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.cancel != nil {
		f.cancel()
		f.cancel = nil
	}
	if !on || f.stopped {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.running.Add(1)
	go f.run(ctx)
}

// Stop ends the watch permanently and waits until its goroutine has returned.
func (f *Follower) Stop() {
	f.mutex.Lock()
	f.stopped = true
	if f.cancel != nil {
		f.cancel()
		f.cancel = nil
	}
	f.mutex.Unlock()
	f.running.Wait()
}

const (
	// minRetryDelay and maxRetryDelay limit the backoff before the watch is restarted. Longer delays reduce the load on the
	// key-value service after an outage; shorter delays bring changes in force sooner.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 3 * time.Second
	// retryBackoffFactor is the factor by which the backoff grows after each attempt.
	retryBackoffFactor = 2
	// retryJitterDivisor sets the minimum delay with jitter: the backoff divided by this number.
	retryJitterDivisor = 2
)

// run watches the configuration, and restarts the watch with backoff, until ctx ends.
func (f *Follower) run(ctx context.Context) {
	defer f.running.Done()
	backoff := minRetryDelay
	for ctx.Err() == nil {
		began := f.now()
		err := f.watchOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.log.WithError(err).Debug("following the configuration")
		}
		if f.now().Sub(began) > maxRetryDelay {
			backoff = minRetryDelay
		}
		// The jitter prevents the followers of all halls from reconnecting at the same time after an outage.
		sleep := backoff/retryJitterDivisor + rand.N(backoff)
		backoff = min(retryBackoffFactor*backoff, maxRetryDelay)
		select {
		case <-time.After(sleep):
		case <-ctx.Done():
		}
	}
}

// watchOnce reads the head and then watches it until the watch ends or fails.
func (f *Follower) watchOnce(ctx context.Context) error {
	h, mod, err := f.reader.readHead(ctx)
	if err != nil {
		return err
	}
	if err := f.catchUp(ctx, h); err != nil {
		return err
	}
	return f.reader.client.Watch(ctx, f.reader.keys.head(), mod+1, func(e kv.WatchEvent) bool {
		h, err := parseHead(e.KV.Value)
		if err != nil {
			f.log.WithError(err).Error("the watch brought a head that cannot be read")
			return false
		}
		return f.catchUp(ctx, h) == nil
	})
}

// catchUp publishes the records between the revision in force and the head. It also publishes a head that is older than the
// revision in force, without records, so that the receiver can raise an alarm, and revision zero, so that it learns that no configuration
// was ever stored.
func (f *Follower) catchUp(ctx context.Context, h head) error {
	current := f.currentRevision()
	if h.Revision == current && current > 0 {
		return nil
	}
	records, err := f.reader.recordsSince(ctx, h, current)
	if err != nil {
		return err
	}
	f.publish(records)
	return nil
}
