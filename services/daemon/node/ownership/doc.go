// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package ownership holds the rules by which a node takes a pool over, keeps it or lets
// it go (Decide), and the progress of a takeover over the pool's endpoints (Takeover).
//
// It owns what each endpoint of a pool has answered to the takeover. It relies on
// modules/daemon/ring for the choice among equals; which members are alive and what they
// announce is told by the node. It starts no goroutines and reads no clock.
package ownership
