// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/origin"
	"github.com/shelfledge/shelfledge/services/entry/origin/exchange"
)

// setRoutes lets all instances put a configuration in force.
func (f *fleet) setRoutes(services map[string][]string) {
	for _, service := range f.services {
		service.SetRoutes(time.Now(), services)
		var shared []string
		for _, together := range services {
			if len(together) > 1 {
				shared = append(shared, together...)
			}
		}
		service.SetSharedServices(time.Now(), shared)
	}
}

// startFleetOfTwoServices starts a fleet where two services serve, each of one software.
func startFleetOfTwoServices(t *testing.T, services map[string][]string) *fleet {
	t.Helper()
	f := startFleet(t, 6, 3)
	for _, service := range f.services {
		service.ObserveEndpoints(time.Now(), map[string][]string{"chat": {"1.0"}, "talk": {"2.0"}})
	}
	f.setRoutes(services)
	time.Sleep(2 * window)
	return f
}

// TestStreamOfRouteThatMovedIsNotJoined guards against streams that go on at another service than the one that began them, since their route was given
// that one meanwhile.
func TestStreamOfRouteThatMovedIsNotJoined(t *testing.T) {
	for name, test := range map[string]struct{ before, after map[string][]string }{
		"to another service": {map[string][]string{"route": {"chat"}}, map[string][]string{"route": {"talk"}}},
		"to one of two":      {map[string][]string{"route": {"chat", "talk"}}, map[string][]string{"route": {"talk"}}},
		"to another route":   {map[string][]string{"route": {"chat"}}, map[string][]string{"later": {"talk"}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleetOfTwoServices(t, test.before)
				defer func() { f.close() }()
				prepareAndBegin(t, f.services[3], lateKey, one)
				time.Sleep(settledAge)
				f.setRoutes(test.after)
				time.Sleep(settledAge)
				for i, service := range f.services {
					result, _ := findAmong(t, service, lateKey, "talk")
					assert.True(t, result.Verdict == origin.Unknown || result.Origin == one, "instance %d: goes on at %v", i, result.Origin)
				}
			})
		})
	}
}

// TestStreamThatBeganAfterRouteMovedGoesOn guards against streams that are refused since their route had another service before.
func TestStreamThatBeganAfterRouteMovedGoesOn(t *testing.T) {
	talk := origin.Origin{Service: "talk", Software: "2.0"}
	synctest.Test(t, func(t *testing.T) {
		f := startFleetOfTwoServices(t, map[string][]string{"route": {"chat"}})
		f.setRoutes(map[string][]string{"route": {"talk"}})
		for i, service := range f.services {
			prepareAndBegin(t, service, origin.Key(i), talk)
		}
		time.Sleep(settledAge)
		f.services[3].Close()
		f.services[3] = startInstance(t, f.network, f.instances[3], f.instances)
		defer func() { f.close() }()
		for i := range 3 {
			result, _ := findAmong(t, f.services[i], 3, "talk")
			assert.Equal(t, known(talk), result)
		}
		time.Sleep(origin.MaxLifetime)
		result, _ := findAmong(t, f.services[0], lateKey, "talk")
		assert.Equal(t, origin.Result{Verdict: origin.Unrestricted, Origin: talk}, result, "no stream of before is left")
	})
}

// TestStreamOfRenamedRouteIsNotDenied guards against streams that go on at another software, since the instance that began them knows them by the
// former name of their route.
func TestStreamOfRenamedRouteIsNotDenied(t *testing.T) {
	const newName = lateKey + 1
	for name, before := range map[string]map[string][]string{"renamed": {"route": {"chat"}}, "not taken up before": {}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 6, 3, "1.0", "2.0")
				defer func() { f.close() }()
				f.setRoutes(before)
				time.Sleep(settling)
				prepareAndBegin(t, f.services[4], lateKey, one)
				prepareAndBegin(t, f.services[3], 1, two)
				time.Sleep(settledAge)
				f.setRoutes(map[string][]string{"later": {"chat"}})
				f.services[3].Close()
				f.services[3] = startAtRoute(t, f, 3, "later")
				time.Sleep(settling)
				for _, service := range f.services {
					assertNotJoined(t, one, service, newName)
				}
			})
		})
	}
}

// startAtRoute starts an instance that finds a configuration with one route.
func startAtRoute(t *testing.T, f *fleet, i int, route string) *exchange.Service {
	t.Helper()
	service := startInstance(t, f.network, f.instances[i], f.instances)
	service.SetRoutes(time.Now(), map[string][]string{route: {"chat"}})
	service.ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
	return service
}

// TestStreamOfRouteThatMovedBeforeLossOfAllIsNotJoined guards against streams of a service that a route had before all instances were lost.
func TestStreamOfRouteThatMovedBeforeLossOfAllIsNotJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleetOfTwoServices(t, map[string][]string{"route": {"chat"}})
		prepareAndBegin(t, f.services[3], lateKey, one)
		f.setRoutes(map[string][]string{"route": {"talk"}})
		f.close()
		for i, instance := range f.instances {
			f.services[i] = startInstance(t, f.network, instance, f.instances)
			f.services[i].SetRoutes(time.Now(), map[string][]string{"route": {"talk"}})
			f.services[i].ObserveEndpoints(time.Now(), map[string][]string{"chat": {"1.0"}, "talk": {"2.0"}})
		}
		defer func() { f.close() }()
		time.Sleep(settling)
		for _, service := range f.services {
			result, _ := findAmong(t, service, lateKey, "talk")
			assert.True(t, result.Verdict == origin.Unknown || result.Origin == one, "goes on at %v", result.Origin)
		}
	})
}
