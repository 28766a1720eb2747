// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Only string `help:"Measure only the named row."`
}

// row is one measurement: a figure at several sizes.
type row struct {
	name    string
	size    string
	unit    string
	sizes   []int
	target  int
	measure func(size int) float64
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("capacity"), kong.Description("Measures how each role's cost grows."))
	fmt.Printf("%-34s %-12s %-52s %14s %12s %8s %14s\n", "figure", "size", "measured", "slope", "at zero", "error", "at the target")
	for _, r := range rows() {
		if args.Only != "" && args.Only != r.name {
			continue
		}
		r.print()
	}
}

func rows() []row {
	return []row{
		{"one decision", "endpoints", "us", []int{10, 25, 50, 75}, 75, decision},
		{"node, processor time a second", "hall's nodes", "us", []int{4, 10, 20, 40}, 40, nodeProcessor},
		{"node, bytes sent a second", "hall's nodes", "B", []int{4, 10, 20, 40}, 40, nodeBytes},
		{"speaker, bytes sent a second", "halls", "B", []int{2, 4, 6, 8}, 8, speakerBytes},
		{"member, bytes received a second", "halls", "B", []int{2, 4, 6, 8}, 8, memberBytes},
		{"placer, processor time a second", "requests/s", "us", []int{50, 100, 200, 400}, 167, placerProcessor},
		{"placer, bytes sent a second", "requests/s", "B", []int{50, 100, 200, 400}, 167, placerBytes},
		{"entry, bytes sent a second", "requests/s", "B", []int{10, 20, 40, 80}, 13, entryBytes},
		{"catalog, heap", "adapters", "KB", []int{2000, 5500, 11000, 22000}, 22000, catalogHeap},
		{"catalog, one change", "adapters", "us", []int{2000, 5500, 11000, 22000}, 22000, catalogChange},
		{"query over all adapters", "adapters", "us", []int{2000, 5500, 11000, 22000}, 22000, query},
		{"router, heap of one summary", "resident", "B", []int{100, 200, 400, 800}, 600, routerHeap},
		{"claims for each write", "at once", "claims", []int{1, 8, 16, 32}, 32, claimsPerWrite},
	}
}

func (r row) print() {
	var xs, ys []float64
	text := ""
	for _, size := range r.sizes {
		y := r.measure(size)
		xs, ys = append(xs, float64(size)), append(ys, y)
		text += fmt.Sprintf("%d: %.4g  ", size, y)
	}
	slope, base, off := fit(xs, ys)
	at := base + slope*float64(r.target)
	fmt.Printf("%-34s %-12s %-52s %10.4g %-3s %12.4g %7.1f%% %8.4g %s at %d\n", r.name, r.size, text, slope, r.unit, base, off*100, at, r.unit, r.target)
}

// fit gives the least squares line, and its greatest error as a part of the greatest value.
func fit(xs, ys []float64) (slope, base, off float64) {
	n := float64(len(xs))
	var sx, sy, sxx, sxy, most float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
		most = max(most, ys[i])
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	base = (sy - slope*sx) / n
	for i := range xs {
		d := ys[i] - (base + slope*xs[i])
		off = max(off, d/most, -d/most)
	}
	return slope, base, off
}
