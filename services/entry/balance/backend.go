// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import "github.com/shelfledge/shelfledge/models/entry/deployment"

// ChooseBackend returns a service of a route, drawn by weight; random is in [0, 1).
func ChooseBackend(route *deployment.Route, random float64) string {
	total := 0.0
	for _, backend := range route.Backends {
		total += backend.Weight
	}
	remaining := random * total
	for _, backend := range route.Backends {
		remaining -= backend.Weight
		if remaining < 0 {
			return backend.Service
		}
	}
	if len(route.Backends) == 0 {
		return ""
	}
	return route.Backends[len(route.Backends)-1].Service
}
