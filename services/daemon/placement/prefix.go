// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

// maxPrefixHints limits the number of prompt prefixes kept for one pool; the oldest entry is dropped first.
const maxPrefixHints = 4096

// prefixHints records the endpoint on which each prompt prefix was last run. The endpoint may no longer have the prefix cached.
type prefixHints struct {
	endpointByPrefix map[uint64]string
	insertionOrder   []uint64
}

func newPrefixHints() prefixHints {
	return prefixHints{endpointByPrefix: make(map[uint64]string)}
}

func (h *prefixHints) set(prefix uint64, endpoint string) {
	if prefix == 0 {
		return
	}
	if _, ok := h.endpointByPrefix[prefix]; !ok {
		h.insertionOrder = append(h.insertionOrder, prefix)
	}
	h.endpointByPrefix[prefix] = endpoint
	if len(h.insertionOrder) > maxPrefixHints {
		delete(h.endpointByPrefix, h.insertionOrder[0])
		h.insertionOrder = h.insertionOrder[1:]
	}
}
