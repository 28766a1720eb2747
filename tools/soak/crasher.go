// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
	"github.com/shelfledge/shelfledge/tools/soak/traffic"
)

const (
	// crashAfter is how long a crashing request runs before its endpoint crashes, in milliseconds.
	crashAfter = 60
	// maxCrashPause bounds the pause before a crashing request is sent again.
	maxCrashPause = 1500 * time.Millisecond
	// minTogetherPause and maxTogetherPause bound that pause if several callers send the request at the same moment.
	minTogetherPause = 1500 * time.Millisecond
	maxTogetherPause = 4500 * time.Millisecond
	// crashTimeout is the time-out of a crashing request. abandonTimeout is the time-out of a request whose caller closes the
	// connection before the endpoint crashes.
	crashTimeout   = 5 * time.Second
	abandonTimeout = crashAfter / 2 * time.Millisecond
)

// crasher repeatedly sends a request that crashes each endpoint which runs it, and records every sending.
type crasher struct {
	call     platformstandin.Call
	patience time.Duration
	// together is how many callers send the request at the same moment.
	together int

	mutex  sync.Mutex
	record ledger.Crasher
}

// newCrasher returns a crasher with a body of its own. The number selects one of the four kinds of route in turn; of every eight
// crashers, the callers of the last four close the connection early.
func newCrasher(number, together int) *crasher {
	prefixes := []string{platformstandin.SafePrefix, platformstandin.UnsafePrefix, platformstandin.StreamPrefix, platformstandin.ResumePrefix}
	prefix := prefixes[number%len(prefixes)]
	c := &crasher{patience: crashTimeout, together: max(together, 1), record: ledger.Crasher{Name: fmt.Sprintf("crasher %d of %s", number, prefix)}}
	if number/len(prefixes)%2 == 1 {
		c.patience = abandonTimeout
	}
	c.call = platformstandin.Call{Path: fmt.Sprintf("%sx?%s=%d", prefix, platformstandin.CrashParameter, crashAfter), Body: c.record.Name}
	if prefix == platformstandin.StreamPrefix || prefix == platformstandin.ResumePrefix {
		// Regular requests use the same adapter.
		c.call.Adapter = "a1"
	}
	return c
}

// run sends the request repeatedly, each time from randomly drawn addresses, until the context ends.
func (c *crasher) run(ctx context.Context, balancer *traffic.Balancer, random *rand.Rand) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.pause(random)):
		}
		var callers sync.WaitGroup
		for _, target := range balancer.PickEach(random, c.together) {
			from := netip.AddrFrom4([4]byte{127, 0, 1, byte(1 + random.IntN(200))})
			callers.Go(func() { c.send(ctx, target, from) })
		}
		callers.Wait()
	}
}

// pause returns the time before the request is sent again.
func (c *crasher) pause(random *rand.Rand) time.Duration {
	if c.together == 1 {
		return time.Duration(random.Float64() * float64(maxCrashPause))
	}
	return minTogetherPause + time.Duration(random.Float64()*float64(maxTogetherPause-minTogetherPause))
}

// send sends the request once.
func (c *crasher) send(ctx context.Context, target traffic.Target, from netip.Addr) {
	one := c.call
	one.From = from
	began := time.Now()
	sending, cancel := context.WithTimeout(ctx, c.patience)
	defer cancel()
	answer := one.Send(sending, target.Callers)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.record.Sends = append(c.record.Sends, ledger.Sending{ID: answer.ID, Instance: target.Name, At: began, Status: answer.Status})
}

// startCrashers starts the crashers and the replacement of crashed endpoints, which go on until the context ends. The returned function
// waits for all of them to end.
func (s *site) startCrashers(ctx context.Context, balancer *traffic.Balancer) (wait func()) {
	var tasks sync.WaitGroup
	for number := range s.args.Crashers {
		one := newCrasher(number, s.args.Together)
		s.activeCrashers = append(s.activeCrashers, one)
		tasks.Go(func() { one.run(ctx, balancer, rand.New(rand.NewPCG(s.args.Seed, uint64(number)))) })
	}
	for _, e := range s.endpoints {
		if s.args.Crashers > 0 {
			tasks.Go(func() { e.replaceCrashed(ctx) })
		}
	}
	return tasks.Wait
}

// crasherRecords returns the record of each crasher.
func (s *site) crasherRecords() []ledger.Crasher {
	var all []ledger.Crasher
	for _, one := range s.activeCrashers {
		one.mutex.Lock()
		all = append(all, one.record)
		one.mutex.Unlock()
	}
	return all
}

// crashPollInterval is the pause between two checks whether an endpoint has crashed, and crashReplaceDelay the time from the detection
// of a crash to the start of another endpoint.
const (
	crashPollInterval = 50 * time.Millisecond
	crashReplaceDelay = 2 * time.Second
)

// replaceCrashed starts another endpoint for each endpoint that crashes. The entry of the crashed endpoint is removed after
// entryExpiry, as by the platform.
func (e *endpoint) replaceCrashed(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(crashPollInterval):
		}
		one := e.current()
		if one.ending.Load() || !one.process.HasExited() {
			continue
		}
		now := time.Now()
		e.site.recorder.addDisruption(ledger.EndpointEnds, one.id, now.Add(-blameWindow), now.Add(blameWindow))
		time.AfterFunc(entryExpiry, func() {
			e.site.logFailure("removal of an entry", e.site.storeHandle.Remove(platformstandin.EndpointKey(one.id)))
		})
		time.Sleep(crashReplaceDelay)
		e.site.logFailure("another endpoint", e.startNext())
	}
}
