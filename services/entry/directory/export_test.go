// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

// Remembered gives how many endpoints are remembered that are gone or were seen draining.
func (d *Directory) Remembered() int {
	return max(len(d.gone), len(d.draining))
}

// Seen gives how many waits are kept of the endpoint's queue.
func (s *EndpointStatus) Seen() int {
	return len(s.wait.seen)
}

// Missing gives how many adapters are remembered that the endpoint said it does not hold.
func (s *EndpointStatus) Missing() int {
	return len(s.missing)
}
