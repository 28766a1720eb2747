// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

// Remembered returns the number of endpoints that are kept as removed or as draining, whichever is larger.
func (d *Directory) Remembered() int {
	return max(len(d.removed), len(d.draining))
}

// Seen returns the number of waits kept of the endpoint's queue.
func (s *EndpointStatus) Seen() int {
	return len(s.wait.observed)
}

// Missing returns the number of adapters recorded as missing on the endpoint.
func (s *EndpointStatus) Missing() int {
	return len(s.missing)
}
