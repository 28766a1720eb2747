// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package deployment

import (
	"slices"
	"strings"
	"time"
)

// RouteKind is how often a request of a route may run.
type RouteKind int

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe RouteKind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Streaming requests are answered by a stream of events and run at most once, unless resumable.
	Streaming
)

// Backend is a service that receives a share of a route's requests.
type Backend struct {
	Service string
	// Weight is the service's share, in any unit that all backends of the route share.
	Weight float64
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout is how long a request may take from its arrival, unless the caller's own deadline is earlier.
	Timeout time.Duration
	// TargetLatency is the response time within which an answer counts as in time; for streams the time to the first event.
	TargetLatency time.Duration
	// TargetPause is the longest pause between two events of a stream that counts as in time; zero for other kinds.
	TargetPause time.Duration
	// Priority is the priority among waiting requests; the lowest number is served first.
	Priority int
	// MaxAttempts is how many endpoints a request may be sent to, including the first.
	MaxAttempts int
	// Resumable reports whether an interrupted stream can be continued at another endpoint after its last event.
	Resumable bool
	Backends  []Backend
}

// Retryable reports whether a request that may already have run may be sent again.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Model is a base model that has adapters.
type Model struct {
	Name string
	// WeightsMB is the memory that the model takes on an engine.
	WeightsMB float64
	// AdapterMB is the memory that each of the model's adapters takes on an engine.
	AdapterMB float64
}

// Engine describes the batching engines of a service.
type Engine struct {
	// Slots is how many requests run concurrently.
	Slots int
	// WeightsMB is the memory for base models and adapters together.
	WeightsMB float64
	// AdapterCapacity is the maximum number of adapters that an engine holds, whatever their size.
	AdapterCapacity int
	// LoadsPerSecond is the weight store's limit on base model loads started per second, over all engines.
	LoadsPerSecond float64
	Models         []Model
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name string
	// MaxConnections is how many connections each endpoint accepts, from all instances together; 0 means no limit.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// IdleTimeout is how long a caller's connection may be open without a request.
	IdleTimeout time.Duration
}

// Configuration is one accepted version of the routes and services.
type Configuration struct {
	// Version is the number under which the users' system accepted the configuration. It never decreases.
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// routes holds the routes of each host, longest prefix first.
	routes map[string][]*Route
	// priorities holds the distinct priorities of each service's routes, the most urgent first.
	priorities map[string][]int
}

// NewConfiguration returns a configuration with its routes indexed by host, the longest prefix first.
func NewConfiguration(version int64, routes []*Route, services map[string]*Service, limits Limits) *Configuration {
	configuration := &Configuration{Version: version, Services: services, Limits: limits, routes: make(map[string][]*Route), priorities: make(map[string][]int)}
	for _, route := range routes {
		configuration.insert(route)
		configuration.addPriority(route)
	}
	return configuration
}

func (c *Configuration) insert(route *Route) {
	host := strings.ToLower(route.Host)
	list := c.routes[host]
	index := len(list)
	for index > 0 && len(list[index-1].PathPrefix) < len(route.PathPrefix) {
		index--
	}
	list = append(list, nil)
	copy(list[index+1:], list[index:])
	list[index] = route
	c.routes[host] = list
}

// addPriority adds the priority of a route to those of its services.
func (c *Configuration) addPriority(route *Route) {
	for _, backend := range route.Backends {
		known := c.priorities[backend.Service]
		index, found := slices.BinarySearch(known, route.Priority)
		if !found {
			c.priorities[backend.Service] = slices.Insert(known, index, route.Priority)
		}
	}
}

// PriorityRank returns how many distinct priorities of a service's routes are more urgent than the given one, and how many distinct
// priorities there are, including the given one.
func (c *Configuration) PriorityRank(service string, priority int) (rank, count int) {
	known := c.priorities[service]
	rank, found := slices.BinarySearch(known, priority)
	if !found {
		return rank, len(known) + 1
	}
	return rank, len(known)
}

// Match returns the route with the longest prefix of the path, or nil if no route matches.
func (c *Configuration) Match(host, path string) *Route {
	for _, route := range c.routes[strings.ToLower(hostWithoutPort(host))] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// hostWithoutPort removes a port; the hosts of routes never have one.
func hostWithoutPort(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > 0 {
		return host[:colon]
	}
	return host
}
