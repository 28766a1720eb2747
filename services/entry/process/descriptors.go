// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package process

import "syscall"

const (
	// reserveDivisor and minReserve determine how many descriptors are kept for the store, other instances and files: their number divided by
	// reserveDivisor, at least minReserve. Higher values are safer in a large fleet, whose planner has a link to each instance; lower ones
	// leave more to callers.
	reserveDivisor = 8
	minReserve     = 32
	// callersDivisor is the part of the other descriptors that callers' connections may use: each request needs one more, to its endpoint.
	callersDivisor = 2
)

// callerConnectionLimit returns how many connections of callers may be open, given how many sockets the platform allows and how many
// descriptors the system does; 0 for either means that it is unknown. The result is 0 if both are.
func callerConnectionLimit(sockets, descriptors int) int {
	available := descriptors
	if sockets > 0 && (available == 0 || sockets < available) {
		available = sockets
	}
	if available == 0 {
		return 0
	}
	reserve := max(available/reserveDivisor, minReserve)
	return max(1, (available-reserve)/callersDivisor)
}

// descriptorLimit returns how many descriptors the process may have open; 0 if that is not known.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		// What the platform tells is used alone.
		return 0
	}
	return int(min(limit.Cur, maxDescriptors))
}

// maxDescriptors stands for any higher limit.
const maxDescriptors = 1 << 20
