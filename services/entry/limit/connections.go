// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package limit

// keptDivisor determines how many of the connections that an endpoint accepts may be kept without a request: their number divided by it. A
// higher value leaves more to instances with many callers, a lower one reopens fewer connections.
const keptDivisor = 2

// Connections is what bounds this instance's connections to an endpoint.
type Connections struct {
	// Accepted is how many connections the endpoint accepts from all instances together; 0 means no limit.
	Accepted int
	// Members is the number of instances, at least 1.
	Members int
}

// Kept returns how many connections this instance may have open when it keeps one without a request. The same number for each instance
// suffices, since connections without requests save only the time to open others. It has no meaning without a limit.
func (c Connections) Kept() int {
	return max(min(1, c.Accepted/c.Members), c.Accepted/keptDivisor/c.Members)
}

// InUse returns how many connections with requests this instance may have, given the other instances' requests in flight: all that the others
// neither use nor keep, so that an instance with most callers is not bound to an equal share. It is never below Kept, nor below 1. It has no
// meaning without a limit.
func (c Connections) InUse(others int) int {
	free := c.Accepted - c.Kept()*(c.Members-1) - others
	return max(1, c.Kept(), free)
}

// Admits reports whether this instance may send the endpoint one more request beside its own and the others' requests in flight.
func (c Connections) Admits(own, others int) bool {
	return c.Accepted == 0 || own < c.InUse(others)
}
