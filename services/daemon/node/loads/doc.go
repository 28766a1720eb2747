// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package loads holds when a pool bids for a load permit and how often its bid is sent
// to another instance (Bidder), which hall shares the weight store's rate out (Hall), and
// how long a pool waits after a takeover (Recovering).
//
// It owns the times and value of a pool's last bid. It relies on modules/daemon/ring for choices
// that all instances make alike; which load is worth how much is services/daemon/placement's to
// say, and who gets a permit services/daemon/budget's. It starts no goroutines and reads no clock.
package loads
