// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
)

// firstIdle is the idle limit that a soak begins with, and idleLimits are those that it changes between.
const firstIdle = 2 * time.Second

var (
	idleLimits = []time.Duration{time.Second, firstIdle, 3 * time.Second}
	// timeouts are the routes' time-outs, all above what callers wait for, so that the callers' own bound is what counts.
	timeouts = []time.Duration{4500 * time.Millisecond, 5 * time.Second, 6 * time.Second}
)

// pauseTimeouts are the time-outs of the routes whose streams pause: one is below what their callers wait for.
var pauseTimeouts = []time.Duration{8 * time.Second, 13 * time.Second, 18 * time.Second}

const (
	// namedAdapters is how many adapters get newer versions.
	namedAdapters = 6
	// mostAdded bounds the routes that are added beside each other.
	mostAdded = 6
)

// operator writes the configuration and the versions into the store.
type operator struct {
	site     *site
	mutex    sync.Mutex
	version  int
	idle     time.Duration
	shortest time.Duration
	timeout  time.Duration
	// pauseTimeout is that of the routes whose streams pause, and pauseLimits are all that it was.
	pauseTimeout time.Duration
	pauseLimits  []ledger.Limit
	routes       map[string]string
	added        []ledger.Addition
	versions     map[string]int
	count        int
}

func newOperator(s *site) *operator {
	return &operator{
		site: s, idle: firstIdle, shortest: firstIdle, timeout: timeouts[1], pauseTimeout: pauseTimeouts[1], routes: make(map[string]string), versions: make(map[string]int),
	}
}

// put writes the configuration; the caller holds the mutex, or nobody else knows the operator yet.
func (o *operator) put() error {
	o.version++
	configuration := platformstandin.WithLongDeadlineRoute(platformstandin.Configuration(o.version, o.routes))
	configuration["limits"].(map[string]any)["idle_timeout_ms"] = o.idle.Milliseconds()
	for _, route := range configuration["routes"].([]map[string]any) {
		if route["path_prefix"] != platformstandin.LongDeadlinePrefix {
			route["timeout_ms"] = o.timeout.Milliseconds()
		}
	}
	configuration = platformstandin.WithPausingRoutes(configuration, o.pauseTimeout)
	sent := time.Now()
	if err := o.site.storeAt.Put(platformstandin.ConfigurationKey, configuration); err != nil {
		return err
	}
	o.pauseLimits = append(o.pauseLimits, ledger.Limit{
		Prefixes: []string{platformstandin.PausePrefix, platformstandin.PauseResumePrefix}, Timeout: o.pauseTimeout, Sent: sent, Acknowledged: time.Now(),
	})
	return nil
}

// change changes the configuration and notes when.
func (o *operator) change(apply func(random int), random int) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	apply(random)
	from := time.Now()
	if err := o.put(); err != nil {
		return err
	}
	o.site.notes.disrupt(ledger.Configured, "", from, time.Now())
	return nil
}

func (o *operator) setIdle(random int) error {
	return o.change(func(n int) {
		o.idle = idleLimits[n%len(idleLimits)]
		o.shortest = min(o.shortest, o.idle)
	}, random)
}

func (o *operator) setTimeouts(random int) error {
	return o.change(func(n int) {
		o.timeout = timeouts[n%len(timeouts)]
		o.pauseTimeout = pauseTimeouts[n%len(pauseTimeouts)]
	}, random)
}

// addRoute adds a route; callers ask for it from its acknowledgement on.
func (o *operator) addRoute() error {
	if len(o.addedPrefixes()) >= mostAdded {
		return nil
	}
	var prefix string
	err := o.change(func(int) {
		o.count++
		prefix = fmt.Sprintf("/added-%d/", o.count)
		o.routes[prefix] = platformstandin.PlainService
	}, 0)
	if err != nil {
		return err
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.added = append(o.added, ledger.Addition{Prefix: prefix, Acknowledged: time.Now()})
	return nil
}

// removeRoute takes the oldest added route out.
func (o *operator) removeRoute() error {
	o.mutex.Lock()
	for i := range o.added {
		if o.added[i].Removed.IsZero() {
			o.added[i].Removed = time.Now()
			delete(o.routes, o.added[i].Prefix)
			break
		}
	}
	o.mutex.Unlock()
	return o.change(func(int) {}, 0)
}

// name names the next version of an adapter; endpoints load it from then on.
func (o *operator) name(random int) error {
	adapter := fmt.Sprintf("a%d", random%namedAdapters)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	version := max(1, o.versions[adapter]) + 1
	o.versions[adapter] = version
	for _, e := range o.site.endpoints {
		if err := e.current().Name(adapter, version); err != nil {
			return err
		}
	}
	if err := o.site.storeAt.Put(platformstandin.NamedVersion(adapter, version)); err != nil {
		return err
	}
	o.site.notes.name(ledger.Naming{Adapter: adapter, Version: version, Acknowledged: time.Now()})
	return nil
}

// tellVersions tells a new endpoint which versions it loads.
func (o *operator) tellVersions(one *incarnation) error {
	o.mutex.Lock()
	versions := maps.Clone(o.versions)
	o.mutex.Unlock()
	for adapter, version := range versions {
		if err := one.Name(adapter, version); err != nil {
			return err
		}
	}
	return nil
}

func (o *operator) idleLimit() time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.idle
}

// addedPrefixes gives the routes that were added and not removed.
func (o *operator) addedPrefixes() []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var prefixes []string
	for _, one := range o.added {
		if one.Removed.IsZero() {
			prefixes = append(prefixes, one.Prefix)
		}
	}
	return prefixes
}

func (o *operator) additions() []ledger.Addition {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.Clone(o.added)
}

func (o *operator) limits() []ledger.Limit {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.Clone(o.pauseLimits)
}

func (o *operator) shortestIdle() time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.shortest
}
