// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerlink

import "net/netip"

// Queued gives how many envelopes wait for a peer behind the one that is being sent.
func (l *Links) Queued(to netip.AddrPort) int {
	return len(l.peer(to).queue)
}
