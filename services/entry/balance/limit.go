// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import "github.com/shelfledge/shelfledge/services/entry/directory"

const (
	// copySlotShare is the share of a model endpoint's slots in flight at which it gets no new copies, and requestSlotShare the share
	// at which it gets no requests; between the two, it still serves adapters that only it holds. Higher values serve more requests at
	// once, each more slowly.
	copySlotShare    = 0.5
	requestSlotShare = 0.65
	// minCopySlotLimit and minRequestSlotLimit are the minimum values of these limits, in requests in flight, for endpoints with few
	// slots: batches this small hardly slow each other down. A higher value serves more at once.
	minCopySlotLimit    = 10
	minRequestSlotLimit = 12
	// resumeSlotShare is the share of a model endpoint's slots in flight at which it gets no requests that only the endpoints of one software
	// may run. A lower value serves each faster, but leaves streams without room to go on where few endpoints run their software.
	resumeSlotShare = 1.0
)

// SlotLimit limits the requests in flight at an endpoint with models. Beyond the limit, every request takes longer than its caller
// waits.
type SlotLimit struct {
	// Share is the limit as a share of the endpoint's slots.
	Share float64
	// Min is the minimum limit in requests in flight, but at most the endpoint's number of slots.
	Min int
}

// CopyLimit returns the limit at which an endpoint gets no new copies.
func CopyLimit() SlotLimit {
	return SlotLimit{Share: copySlotShare, Min: minCopySlotLimit}
}

// RequestLimit returns the limit at which an endpoint is saturated and gets no requests.
func RequestLimit() SlotLimit {
	return SlotLimit{Share: requestSlotShare, Min: minRequestSlotLimit}
}

// ResumeLimit returns the limit at which an endpoint gets no requests that only the endpoints of one software may run.
func ResumeLimit() SlotLimit {
	return SlotLimit{Share: resumeSlotShare}
}

// Places returns how many requests the limit allows to be in flight at an endpoint with a number of slots.
func (l SlotLimit) Places(slots int) int {
	return int(max(l.Share*float64(slots), float64(min(slots, l.Min))))
}

// Reached reports whether an endpoint has as many requests in flight as the limit allows, by this instance's own count and the other
// instances' counts as of the planner's last view. An endpoint with an unknown number of slots has no limit.
func (l SlotLimit) Reached(endpoint *directory.EndpointStatus) bool {
	limit := max(l.Share*float64(endpoint.Slots), float64(min(endpoint.Slots, l.Min)))
	return endpoint.Slots > 0 && float64(endpoint.Load()) >= limit
}
