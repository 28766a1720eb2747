// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"sync"
	"time"
)

// activity tracks the exchanges over this instance's own links, and when the last bytes arrived on any of them. If all exchanges with
// several endpoints are silent at the same time, the links may have failed without an error.
type activity struct {
	mutex sync.Mutex
	// busy are the targets of exchanges in progress, by connection.
	busy map[*connection]Target
	// lastAt is when bytes last arrived, or when the first of the exchanges in progress began, if that is later.
	lastAt time.Time
}

func newActivity() activity {
	return activity{busy: make(map[*connection]Target)}
}

// beginExchange records the beginning of an exchange over an own link.
func (c *Client) beginExchange(conn *connection, target Target) {
	if conn.peer.IsValid() {
		return
	}
	now := c.options.Now()
	c.activity.mutex.Lock()
	defer c.activity.mutex.Unlock()
	if len(c.activity.busy) == 0 {
		c.activity.lastAt = now
	}
	c.activity.busy[conn] = target
}

// recordReceived records that bytes have arrived.
func (c *Client) recordReceived(conn *connection) {
	if conn.peer.IsValid() {
		return
	}
	now := c.options.Now()
	c.activity.mutex.Lock()
	defer c.activity.mutex.Unlock()
	c.activity.lastAt = now
}

// endExchange records the end of an exchange.
func (c *Client) endExchange(conn *connection) {
	c.activity.mutex.Lock()
	defer c.activity.mutex.Unlock()
	delete(c.activity.busy, conn)
}

// Silent returns, if no byte has arrived over any own link for at least the given time although requests wait for answers, the endpoints
// of these requests; otherwise it returns none. Each endpoint is returned once.
func (c *Client) Silent(now time.Time, limit time.Duration) []Target {
	c.activity.mutex.Lock()
	defer c.activity.mutex.Unlock()
	if len(c.activity.busy) == 0 || now.Sub(c.activity.lastAt) < limit {
		return nil
	}
	seen := make(map[string]bool, len(c.activity.busy))
	var targets []Target
	for _, target := range c.activity.busy {
		if !seen[target.Key] {
			seen[target.Key] = true
			targets = append(targets, target)
		}
	}
	return targets
}
