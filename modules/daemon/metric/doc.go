// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package metric holds the Prometheus metrics of a daemon.
package metric
