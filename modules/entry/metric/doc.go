// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package metric holds the Prometheus metrics of one entry process in a registry of its own.
//
// It owns the counters and histograms, and reads the gauges from its caller at each scrape. It starts no goroutine.
//
// The daemon uses modules/daemon/metric instead: other metrics, some under the same names with other labels (requests by caller and
// outcome, waits for loads, tokens), and the collectors of the Go runtime and the process.
package metric
