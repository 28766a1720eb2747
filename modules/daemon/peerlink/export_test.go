// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerlink

import "net/netip"

// QueueLength returns the number of envelopes queued for a peer, without the one that is being sent.
func (l *Links) QueueLength(to netip.AddrPort) int {
	return len(l.peer(to).queue)
}
