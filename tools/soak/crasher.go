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
	// crashAfter is how long a request runs until its endpoint ends, in milliseconds.
	crashAfter = 60
	// crashPause bounds the pause after which a caller sends such a request again.
	crashPause = 1500 * time.Millisecond
	// crashPatience bounds one sending, leavingPatience one whose caller leaves before its endpoint ends.
	crashPatience   = 5 * time.Second
	leavingPatience = crashAfter / 2 * time.Millisecond
)

// crasher is a request that crashes each endpoint which runs it, with what became of it.
type crasher struct {
	call     platformstandin.Call
	patience time.Duration

	mutex sync.Mutex
	seen  ledger.Crasher
}

// newCrasher gives one of each kind of route in turn, with a body of its own; of each eight, the callers of the last four leave.
func newCrasher(number int) *crasher {
	prefixes := []string{platformstandin.SafePrefix, platformstandin.UnsafePrefix, platformstandin.StreamPrefix, platformstandin.ResumePrefix}
	prefix := prefixes[number%len(prefixes)]
	c := &crasher{patience: crashPatience, seen: ledger.Crasher{Name: fmt.Sprintf("crasher %d of %s", number, prefix)}}
	if number/len(prefixes)%2 == 1 {
		c.patience = leavingPatience
	}
	c.call = platformstandin.Call{Path: fmt.Sprintf("%sx?%s=%d", prefix, platformstandin.CrashParameter, crashAfter), Body: c.seen.Name}
	if prefix == platformstandin.StreamPrefix || prefix == platformstandin.ResumePrefix {
		// Sound requests use the same adapter.
		c.call.Adapter = "a1"
	}
	return c
}

// run sends it again and again, each time from another address, until the context ends.
func (c *crasher) run(ctx context.Context, balancer *traffic.Balancer, random *rand.Rand) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.Float64() * float64(crashPause))):
		}
		target := balancer.Pick(random)
		one := c.call
		one.From = netip.AddrFrom4([4]byte{127, 0, 1, byte(1 + random.IntN(200))})
		began := time.Now()
		sending, cancel := context.WithTimeout(ctx, c.patience)
		answer := one.Send(sending, target.Callers)
		cancel()
		c.mutex.Lock()
		c.seen.Sends = append(c.seen.Sends, ledger.Sending{ID: answer.ID, Instance: target.Name, At: began, Status: answer.Status})
		c.mutex.Unlock()
	}
}

// startCrashers has the requests come that crash endpoints, and endpoints come back, until the context ends; wait returns then.
func (s *site) startCrashers(ctx context.Context, balancer *traffic.Balancer) (wait func()) {
	var tasks sync.WaitGroup
	for number := range s.args.Crashers {
		one := newCrasher(number)
		s.crashing = append(s.crashing, one)
		tasks.Go(func() { one.run(ctx, balancer, rand.New(rand.NewPCG(s.args.Seed, uint64(number)))) })
	}
	for _, e := range s.endpoints {
		if s.args.Crashers > 0 {
			tasks.Go(func() { e.watch(ctx) })
		}
	}
	return tasks.Wait
}

// crashers gives what became of each.
func (s *site) crashers() []ledger.Crasher {
	var all []ledger.Crasher
	for _, one := range s.crashing {
		one.mutex.Lock()
		all = append(all, one.seen)
		one.mutex.Unlock()
	}
	return all
}

// watchPause is the pause between two looks whether an endpoint has crashed, comebackPause that until another one comes.
const (
	watchPause    = 50 * time.Millisecond
	comebackPause = 2 * time.Second
)

// watch brings another endpoint for each that crashes; its entry goes after a silence.
func (e *endpoint) watch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(watchPause):
		}
		one := e.current()
		if one.asked.Load() || !one.process.HasExited() {
			continue
		}
		now := time.Now()
		e.site.notes.disrupt(ledger.EndpointEnds, one.id, now.Add(-blamed), now.Add(blamed))
		time.AfterFunc(silentBeats, func() {
			e.site.logFailure("removal of an entry", e.site.storeAt.Remove(platformstandin.EndpointKey(one.id)))
		})
		time.Sleep(comebackPause)
		e.site.logFailure("another endpoint", e.begin())
	}
}
