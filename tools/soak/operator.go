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

// initialIdleLimit is the idle limit at the start of a soak. Later steps choose from idleLimits.
const initialIdleLimit = 2 * time.Second

var (
	idleLimits = []time.Duration{time.Second, initialIdleLimit, 3 * time.Second}
	// timeouts are the time-outs of the routes. All are longer than the callers' own time-out, so that the latter takes effect first.
	timeouts = []time.Duration{4500 * time.Millisecond, 5 * time.Second, 6 * time.Second}
)

// pauseTimeouts are the time-outs of the routes with pausing streams. Some are shorter than the callers' own time-out.
var pauseTimeouts = []time.Duration{8 * time.Second, 13 * time.Second, 18 * time.Second}

const (
	// versionedAdapters is the number of adapters that get newer versions.
	versionedAdapters = 6
	// maxAddedRoutes bounds the number of added routes that are in force at once.
	maxAddedRoutes = 6
)

// operator writes the configuration and the adapter versions into the store.
type operator struct {
	site    *site
	mutex   sync.Mutex
	version int
	idle    time.Duration
	minIdle time.Duration
	timeout time.Duration
	// pauseTimeout is the time-out of the routes with pausing streams, and pauseLimits is the history of its values.
	pauseTimeout time.Duration
	pauseLimits  []ledger.Limit
	routes       map[string]string
	added        []ledger.Addition
	versions     map[string]int
	count        int
}

func newOperator(s *site) *operator {
	return &operator{
		site: s, idle: initialIdleLimit, minIdle: initialIdleLimit, timeout: timeouts[1], pauseTimeout: pauseTimeouts[1], routes: make(map[string]string), versions: make(map[string]int),
	}
}

// writeConfiguration writes the configuration. The caller holds the mutex, unless the operator is not shared yet.
func (o *operator) writeConfiguration() error {
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
	if err := o.site.storeHandle.Put(platformstandin.ConfigurationKey, configuration); err != nil {
		return err
	}
	o.pauseLimits = append(o.pauseLimits, ledger.Limit{
		Prefixes: []string{platformstandin.PausePrefix, platformstandin.PauseResumePrefix}, Timeout: o.pauseTimeout, Sent: sent, Acknowledged: time.Now(),
	})
	return nil
}

// changeConfiguration calls apply, writes the configuration and records the disruption.
func (o *operator) changeConfiguration(apply func(random int), random int) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	apply(random)
	from := time.Now()
	if err := o.writeConfiguration(); err != nil {
		return err
	}
	o.site.recorder.addDisruption(ledger.Configured, "", from, time.Now())
	return nil
}

func (o *operator) setIdle(random int) error {
	return o.changeConfiguration(func(n int) {
		o.idle = idleLimits[n%len(idleLimits)]
		o.minIdle = min(o.minIdle, o.idle)
	}, random)
}

func (o *operator) setTimeouts(random int) error {
	return o.changeConfiguration(func(n int) {
		o.timeout = timeouts[n%len(timeouts)]
		o.pauseTimeout = pauseTimeouts[n%len(pauseTimeouts)]
	}, random)
}

// addRoute adds a route. Callers send requests to the route once the store has acknowledged it.
func (o *operator) addRoute() error {
	if len(o.addedPrefixes()) >= maxAddedRoutes {
		return nil
	}
	var prefix string
	err := o.changeConfiguration(func(int) {
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

// removeRoute removes the oldest added route.
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
	return o.changeConfiguration(func(int) {}, 0)
}

// addNaming makes all endpoints load the next version of an adapter from now on, and then writes that version to the store.
func (o *operator) addNaming(random int) error {
	adapter := fmt.Sprintf("a%d", random%versionedAdapters)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	version := max(1, o.versions[adapter]) + 1
	o.versions[adapter] = version
	for _, e := range o.site.endpoints {
		if err := e.current().SetVersion(adapter, version); err != nil {
			return err
		}
	}
	if err := o.site.storeHandle.Put(platformstandin.NamedVersion(adapter, version)); err != nil {
		return err
	}
	o.site.recorder.addNaming(ledger.Naming{Adapter: adapter, Version: version, Acknowledged: time.Now()})
	return nil
}

// sendVersions sends a new endpoint process the versions that it is to load.
func (o *operator) sendVersions(one *endpointProcess) error {
	o.mutex.Lock()
	versions := maps.Clone(o.versions)
	o.mutex.Unlock()
	for adapter, version := range versions {
		if err := one.SetVersion(adapter, version); err != nil {
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

// addedPrefixes returns the prefixes of the routes that were added and not removed.
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

func (o *operator) minIdleLimit() time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.minIdle
}
