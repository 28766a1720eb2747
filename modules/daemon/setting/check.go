// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"fmt"
	"maps"
	"slices"
)

func positive(d *document, name string, v Duration) {
	if v <= 0 {
		d.add(name, "must be above 0")
	}
}

func between[T int | float64](d *document, name string, v, low, high T) {
	if v < low || v > high {
		d.add(name, "%v is not from %v to %v", v, low, high)
	}
}

// checkDurations reports every time of a list that is not above zero, in the order of their names.
func checkDurations(d *document, topic string, list map[string]Duration) {
	for _, name := range slices.Sorted(maps.Keys(list)) {
		positive(d, fmt.Sprintf("%s.%s", topic, name), list[name])
	}
}
