// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package ownership has the rules by which an instance becomes, stays or ceases to be the
// placer of a pool (Decide), and the progress of a takeover over the pool's endpoints (Takeover).
//
// It owns what each endpoint of a pool has answered to the takeover. It relies on
// modules/daemon/ring for the choice among equals; which members are alive and what they
// announce is told by the node. It starts no goroutines and reads no clock.
package ownership
