// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"fmt"
)

// ErrUnknownPolicy reports an unknown policy name.
type ErrUnknownPolicy struct {
	Name string
}

// Error returns a message with the unknown name and the existing policies.
func (e ErrUnknownPolicy) Error() string {
	return fmt.Sprintf("no policy %q; there are shelfledge, lru, affinity and bound", e.Name)
}

// Policies returns the names of all policies, the product's policy first.
func Policies() []string {
	return []string{"shelfledge", "affinity", "lru", "bound"}
}

// Run replays a trace on a fleet under the named policy. Its only error is ErrNoPolicy.
func Run(f *FleetFile, lines []Line, name string) (Result, error) {
	w := newWorld(f)
	switch name {
	case "bound":
		return lowerBound(f, lines), nil
	case "shelfledge":
		w.policy = newProductPolicy(w)
	case "lru":
		w.policy = newBaseline(w, chooseLeastLoaded)
	case "affinity":
		w.policy = newBaseline(w, chooseByAffinity)
	default:
		return Result{}, ErrUnknownPolicy{Name: name}
	}
	w.replay(lines)
	return w.result(name), nil
}
