// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package deployment

import (
	"strings"
	"time"
)

// RouteKind says how often a request of a route may run.
type RouteKind int

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe RouteKind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Streaming requests are answered by events and run at most once, unless resumable.
	Streaming
)

// Backend is a service that takes a share of a route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string
	Kind        RouteKind
	Timeout     time.Duration
	Target      time.Duration
	PauseTarget time.Duration
	Priority    int
	MaxAttempts int
	Resumable   bool
	Backends    []Backend
}

// Repeatable tells whether a request that may have run can be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// Model is a base model with numbered adapters.
type Model struct {
	Name      string
	WeightsMB float64
	Adapters  int
	AdapterMB float64
}

// Engine describes the batching engines of a service.
type Engine struct {
	Slots           int
	KVTokens        int
	WeightsMB       float64
	AdapterCapacity int
	LoadsPerSecond  float64
	Models          []Model
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one accepted version of routes and services.
type Configuration struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// routes holds each host's routes, longest prefix first.
	routes map[string][]*Route
}

// NewConfiguration indexes routes by host; prefixes are tried longest first.
func NewConfiguration(version int64, routes []*Route, services map[string]*Service, limits Limits) *Configuration {
	configuration := &Configuration{Version: version, Services: services, Limits: limits, routes: make(map[string][]*Route)}
	for _, route := range routes {
		configuration.insert(route)
	}
	return configuration
}

func (c *Configuration) insert(route *Route) {
	host := strings.ToLower(route.Host)
	list := c.routes[host]
	place := len(list)
	for place > 0 && len(list[place-1].PathPrefix) < len(route.PathPrefix) {
		place--
	}
	list = append(list, nil)
	copy(list[place+1:], list[place:])
	list[place] = route
	c.routes[host] = list
}

// Match gives the route of the longest prefix that begins the path, or nil.
func (c *Configuration) Match(host, path string) *Route {
	for _, route := range c.routes[strings.ToLower(hostWithoutPort(host))] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// hostWithoutPort drops a numeric port; route hosts never carry one.
func hostWithoutPort(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > 0 {
		return host[:colon]
	}
	return host
}
