// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package loads decides when a pool bids for a load permit and when its bid is sent to
// another instance (Bidder), which hall divides the weight store's rate (BudgetHall), and how long
// a pool waits after a takeover before it bids (Recovering).
//
// It owns the times and the value of a pool's last bid. It relies on modules/daemon/ring for choices
// that all instances make alike. services/daemon/placement decides the value of a load, and
// services/daemon/budget decides who gets a permit. The package starts no goroutines and reads no clock.
package loads
