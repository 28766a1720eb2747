// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"fmt"
	"maps"
	"slices"
)

// checkPositive reports a problem if v is not above zero.
func checkPositive(d *document, name string, v Duration) {
	if v <= 0 {
		d.addProblem(name, "must be above 0")
	}
}

// checkRange reports a problem if v is not from low to high.
func checkRange[T int | float64](d *document, name string, v, low, high T) {
	if v < low || v > high {
		d.addProblem(name, "%v is not from %v to %v", v, low, high)
	}
}

// checkDurations reports a problem for each duration that is not above zero, in the order of the names.
func checkDurations(d *document, topic string, list map[string]Duration) {
	for _, name := range slices.Sorted(maps.Keys(list)) {
		checkPositive(d, fmt.Sprintf("%s.%s", topic, name), list[name])
	}
}
