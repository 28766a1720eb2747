// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"maps"
	"time"

	"github.com/shelfledge/shelfledge/modules/refusal"
)

// inquiryLife is for how long a refusal is given again: the exchanges with an endpoint that ends all end at once.
const inquiryLife = time.Second

// inquiry is a look whether an endpoint still takes connections.
type inquiry struct {
	began time.Time
	// done is closed once refuses is known.
	done    chan struct{}
	refuses bool
}

// Refuses looks whether an endpoint refuses new connections, which tells the end of its process from a connection that was reset. It is
// false where the endpoint keeps one, which is left to the next exchange, and where neither shows in time. Where this client has as many
// connections as it may, one that rests is looked at, or one that another exchange gives back meanwhile.
func (c *Client) Refuses(ctx context.Context, target Target) bool {
	one, first := c.inquiry(target.Key)
	if first {
		one.refuses = c.isRefused(ctx, target)
		if !one.refuses {
			// The endpoint may end by the next request.
			c.forgetInquiry(target.Key)
		}
		close(one.done)
	}
	select {
	case <-one.done:
		return one.refuses
	case <-ctx.Done():
		return false
	}
}

// inquiry gives the present inquiry of a key; first says that the caller has to make it.
func (c *Client) inquiry(key string) (one *inquiry, first bool) {
	now := c.options.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if one, ok := c.inquiries[key]; ok && now.Sub(one.began) < inquiryLife {
		return one, false
	}
	one = &inquiry{began: now, done: make(chan struct{})}
	c.inquiries[key] = one
	return one, true
}

func (c *Client) isRefused(ctx context.Context, target Target) bool {
	var from *host
	open := func(ctx context.Context) (*connection, error) {
		conn, h, err := c.acquire(ctx, target)
		from = h
		return conn, err
	}
	kept, refused := refusal.Look(context.WithoutCancel(ctx), open, func(conn *connection) { c.discard(from, conn) })
	if kept != nil {
		c.release(from, kept)
	}
	return refused
}

func (c *Client) forgetInquiry(key string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.inquiries, key)
}

// forgetInquiries drops those that are not given again; the caller holds the mutex.
func (c *Client) forgetInquiries(now time.Time) {
	maps.DeleteFunc(c.inquiries, func(_ string, one *inquiry) bool { return now.Sub(one.began) >= inquiryLife })
}
