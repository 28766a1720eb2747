// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package metric provides the Prometheus metrics of a daemon, in a separate registry.
//
// The entry program uses modules/entry/metric instead: its series have the labels route, status and reason, those of the daemon class,
// caller and outcome, and dashboards and alerts depend on the names of both. Metrics are safe for concurrent use. The package relies on
// client_golang, and on modules/daemon/kv for the type of its call counts. It starts no goroutines.
package metric
