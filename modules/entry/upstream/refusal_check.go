// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"maps"
	"time"

	"github.com/shelfledge/shelfledge/modules/refusal"
)

// refusalLifetime is how long a refusal is returned again without another check: when an endpoint's process ends, all exchanges with it end
// at once.
const refusalLifetime = time.Second

// refusalCheck is a check whether an endpoint refuses new connections.
type refusalCheck struct {
	startedAt time.Time
	// done is closed once refuses is set.
	done    chan struct{}
	refuses bool
}

// Refuses reports whether an endpoint refuses new connections, which distinguishes the end of its process from a reset connection. It
// returns false if the endpoint accepts and keeps a connection, which is then used for the next exchange, or if neither happens in time. If
// the client has as many connections as allowed, it checks an idle connection, or one that another exchange releases meanwhile.
func (c *Client) Refuses(ctx context.Context, target Target) bool {
	check, first := c.refusalCheck(target.Key)
	if first {
		check.refuses = c.checkRefusal(ctx, target)
		if !check.refuses {
			// The endpoint's process may end with the next request.
			c.deleteRefusalCheck(target.Key)
		}
		close(check.done)
	}
	select {
	case <-check.done:
		return check.refuses
	case <-ctx.Done():
		return false
	}
}

// refusalCheck returns the current check of a key; first reports whether the caller must carry it out.
func (c *Client) refusalCheck(key string) (check *refusalCheck, first bool) {
	now := c.options.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if check, ok := c.refusalChecks[key]; ok && now.Sub(check.startedAt) < refusalLifetime {
		return check, false
	}
	check = &refusalCheck{startedAt: now, done: make(chan struct{})}
	c.refusalChecks[key] = check
	return check, true
}

func (c *Client) checkRefusal(ctx context.Context, target Target) bool {
	var owner *host
	open := func(ctx context.Context) (*connection, error) {
		conn, h, err := c.acquire(ctx, target)
		owner = h
		return conn, err
	}
	kept, refused := refusal.Probe(context.WithoutCancel(ctx), open, func(conn *connection) { c.discard(owner, conn) })
	if kept != nil {
		c.release(owner, kept)
	}
	return refused
}

func (c *Client) deleteRefusalCheck(key string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.refusalChecks, key)
}

// deleteOldRefusalChecks deletes the checks whose lifetime is over. The caller must hold the mutex.
func (c *Client) deleteOldRefusalChecks(now time.Time) {
	maps.DeleteFunc(c.refusalChecks, func(_ string, check *refusalCheck) bool { return now.Sub(check.startedAt) >= refusalLifetime })
}
