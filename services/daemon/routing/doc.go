// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package routing chooses, at a request's entry, the pool of endpoints that is asked for a place: the hall where the
// adapter is loaded, or the one hall that is to load it. It works from summaries that lag, and counts what it has sent
// since.
//
// A Router owns what is known of each pool, a Publisher the summaries of one pool that this instance places. Both are
// the control thread's alone (services/daemon/node), get the present time from it, do no I/O and start no goroutines.
package routing
