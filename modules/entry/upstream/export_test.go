// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

// Keys gives how many keys the client keeps something of.
func (c *Client) Keys() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.hosts)
}
