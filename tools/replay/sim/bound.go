// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"math"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// lowerBound returns a result whose mean load stalls are lower bounds, under the same model, for any policy that
// refuses no request; its other figures are empty. A policy learns the name of an adapter from the first call in the
// trace, and no policy can have the adapter resident before the fastest load after that call has ended. A call during
// that load therefore waits for the rest of the load, or until its deadline.
func lowerBound(f *FleetFile, lines []Line) Result {
	weights := f.stallWeights()
	fastest := math.Inf(1)
	for _, e := range f.Endpoints {
		fastest = math.Min(fastest, e.LoadMS)
	}
	out := Result{Policy: "bound", ByClass: make(map[string]Group), Violations: map[string]int{}}
	resident := make(map[fleet.AdapterRef]float64)
	var stall, weighted float64
	for _, l := range lines {
		if l.Event != "" {
			continue
		}
		out.Requests++
		ref := fleet.AdapterRef{Name: l.Adapter, Version: l.Version}
		if _, called := resident[ref]; !called {
			resident[ref] = l.AtMS + fastest
		}
		wait := math.Max(0, resident[ref]-l.AtMS)
		if l.DeadlineMS > 0 {
			wait = math.Min(wait, l.DeadlineMS)
		}
		stall += wait
		weighted += wait * weights[l.Class]
	}
	out.LoadStall.Mean = stall / math.Max(1, float64(out.Requests))
	out.WeightedMean = weighted / math.Max(1, float64(out.Requests))
	return out
}
