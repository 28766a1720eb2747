// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package ownership holds the rules by which an instance becomes, remains or stops being the
// placer of a pool (Decide), and the progress of a takeover of the pool's endpoints (Takeover).
//
// It owns the state of each endpoint's answer to the takeover. It relies on modules/daemon/ring to
// choose among instances with equal claims. The node passes in which members are alive and which
// pools they announce. The package starts no goroutines and reads no clock.
package ownership
