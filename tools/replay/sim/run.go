// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"errors"
	"fmt"

	"github.com/shelfledge/shelfledge/services/placement"
)

// Options choose a policy and its settings.
type Options struct {
	Policy string
	// Placement replaces the product's settings where it is not nil, for trials.
	Placement *placement.Options
	// LocalOnly keeps the product's requests in their own hall, for trials.
	LocalOnly bool
}

// ErrNoPolicy reports an unknown policy name.
type ErrNoPolicy struct {
	Name string
}

// Error names the policies that exist.
func (e ErrNoPolicy) Error() string {
	return fmt.Sprintf("no policy %q; there are shelfledge, lru, affinity and bound", e.Name)
}

// IsErrNoPolicy tells whether an error is an ErrNoPolicy.
func IsErrNoPolicy(err error) bool {
	var e ErrNoPolicy
	return errors.As(err, &e)
}

// Policies lists the policies, the product's first.
func Policies() []string {
	return []string{"shelfledge", "affinity", "lru", "bound"}
}

// Run replays a trace on a fleet under a policy.
func Run(f *FleetFile, lines []Line, o Options) (Result, error) {
	w := newWorld(f)
	switch o.Policy {
	case "bound":
		return bound(f, lines), nil
	case "shelfledge":
		settings := placement.DefaultOptions()
		if o.Placement != nil {
			settings = *o.Placement
		}
		w.policy = newProduct(w, settings, o.LocalOnly)
	case "lru":
		w.policy = newLRU(w)
	case "affinity":
		w.policy = newAffinity(w)
	default:
		return Result{}, ErrNoPolicy{Name: o.Policy}
	}
	w.replay(lines)
	return w.result(), nil
}
