// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package process

// CallerConnectionLimit returns how many connections of callers may be open.
func CallerConnectionLimit(sockets, descriptors int) int {
	return callerConnectionLimit(sockets, descriptors)
}
