// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"fmt"
)

// ErrNoPolicy reports an unknown policy name.
type ErrNoPolicy struct {
	Name string
}

// Error names the policies that exist.
func (e ErrNoPolicy) Error() string {
	return fmt.Sprintf("no policy %q; there are shelfledge, lru, affinity and bound", e.Name)
}

// Policies lists the policies, the product's first.
func Policies() []string {
	return []string{"shelfledge", "affinity", "lru", "bound"}
}

// Run replays a trace on a fleet under a policy; its only error is ErrNoPolicy.
func Run(f *FleetFile, lines []Line, name string) (Result, error) {
	w := newWorld(f)
	switch name {
	case "bound":
		return bound(f, lines), nil
	case "shelfledge":
		w.policy = newProduct(w)
	case "lru":
		w.policy = newBaseline(w, leastLoaded)
	case "affinity":
		w.policy = newBaseline(w, byAffinity)
	default:
		return Result{}, ErrNoPolicy{Name: name}
	}
	w.replay(lines)
	return w.result(name), nil
}
