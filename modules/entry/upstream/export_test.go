// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

// Keys returns the number of keys that the client has connections of.
func (c *Client) Keys() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.hosts)
}
