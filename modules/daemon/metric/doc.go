// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package metric holds the Prometheus metrics of a daemon, in a registry of its own.
//
// The entry program has modules/entry/metric in its place: its series count by route, answered status and reason, where
// the daemon's count by class, caller and outcome, and the names of both are fixed by who reads them. Metrics are safe
// for concurrent use; the package relies on client_golang and, for their counts, on modules/daemon/kv, and starts no
// goroutines.
package metric
