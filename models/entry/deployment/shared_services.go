// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package deployment

import (
	"maps"
	"slices"
)

// SharedServices returns the services that are backends of a route with several services, sorted.
func (c *Configuration) SharedServices() []string {
	shared := make(map[string]bool)
	for _, routes := range c.routes {
		for _, route := range routes {
			services := route.Services()
			for _, service := range services {
				shared[service] = shared[service] || len(services) > 1
			}
		}
	}
	maps.DeleteFunc(shared, func(_ string, isShared bool) bool { return !isShared })
	return slices.Sorted(maps.Keys(shared))
}

// StreamServices returns the services of each route whose streams can be taken up, by the name of the route.
func (c *Configuration) StreamServices() map[string][]string {
	services := make(map[string][]string)
	for _, routes := range c.routes {
		for _, route := range routes {
			if route.Kind == Streaming && route.Resumable {
				services[route.Name] = route.Services()
			}
		}
	}
	return services
}

// Services returns the services of the route's backends, sorted.
func (r *Route) Services() []string {
	services := make([]string, 0, len(r.Backends))
	for _, backend := range r.Backends {
		services = append(services, backend.Service)
	}
	slices.Sort(services)
	return slices.Compact(services)
}
