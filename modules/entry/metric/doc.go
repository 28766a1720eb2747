// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package metric holds the figures of one entry process, in a registry of its own.
//
// It owns the counters and histograms; gauges are asked of its caller at each reading. It relies on the client library of
// Prometheus and starts no goroutine.
//
// The daemon has modules/daemon/metric in its place: other figures, some under the same names with other labels (requests by
// caller and outcome, waits for loads, tokens), and the collectors of the Go runtime and the process.
package metric
