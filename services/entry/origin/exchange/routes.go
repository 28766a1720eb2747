// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange

import (
	"maps"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

// routeChanges are the changes of the routes within origin.MaxLifetime, whose streams may have begun by the routes of before. The service's mutex
// guards it.
type routeChanges struct {
	// services are those of each route whose streams can be taken up, by the name of the route; nil before the first configuration.
	services map[string][]string
	// former has the services that a route of a service had before, and until when their streams can be taken up.
	former map[string]map[string]time.Time
	// renamedUntil is until when streams can be taken up at a route that did not record them, or under another name.
	renamedUntil time.Time
}

// set sets the routes.
func (r *routeChanges) set(now time.Time, services map[string][]string) {
	if r.services != nil {
		r.addChanges(now, services)
	}
	r.services = maps.Clone(services)
}

// addChanges records what changes by other routes. A route that is new may serve the callers of any that is gone.
func (r *routeChanges) addChanges(now time.Time, services map[string][]string) {
	var gone []string
	for name, former := range r.services {
		if _, remains := services[name]; !remains {
			gone = append(gone, former...)
		}
	}
	for name, present := range services {
		former, exists := r.services[name]
		if !exists {
			former = gone
			r.renamedUntil = now.Add(origin.MaxLifetime)
		}
		r.addFormer(now, present, former)
	}
}

// addFormer records that streams of some services may have begun at those of before.
func (r *routeChanges) addFormer(now time.Time, present, former []string) {
	for _, service := range present {
		for _, other := range former {
			if slices.Contains(present, other) {
				continue
			}
			if r.former[service] == nil {
				r.former[service] = make(map[string]time.Time)
			}
			r.former[service][other] = now.Add(origin.MaxLifetime)
		}
	}
}

// hasFormer reports whether streams of a service may have begun at another one.
func (r *routeChanges) hasFormer(now time.Time, service string) bool {
	for _, until := range r.former[service] {
		if until.After(now) {
			return true
		}
	}
	return false
}

// withFormer returns some services of a route and those where its streams may have begun before.
func (r *routeChanges) withFormer(now time.Time, services []string) []string {
	all := slices.Clone(services)
	for _, service := range services {
		for former, until := range r.former[service] {
			if until.After(now) && !slices.Contains(all, former) {
				all = append(all, former)
			}
		}
	}
	slices.Sort(all)
	return all
}

// sweep removes the changes that no longer count.
func (r *routeChanges) sweep(now time.Time) {
	for service, former := range r.former {
		maps.DeleteFunc(former, func(_ string, until time.Time) bool { return !until.After(now) })
		if len(former) == 0 {
			delete(r.former, service)
		}
	}
}

// SetRoutes sets the services of the routes whose streams can be taken up, by the name of the route. A stream may have begun by the routes of before.
func (s *Service) SetRoutes(now time.Time, services map[string][]string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.routes.set(now, services)
	for service := range s.routes.former {
		s.reviewTold(now, service)
	}
}

// isShared reports whether the streams of a route of a service may have begun at another service.
func (s *Service) isShared(now time.Time, service string) bool {
	return s.shared[service] || s.routes.hasFormer(now, service)
}

// withFormerServices returns some services of a route and those where its streams may have begun before the route changed.
func (s *Service) withFormerServices(now time.Time, services []string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.routes.withFormer(now, services)
}
