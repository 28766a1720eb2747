// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"errors"
	"maps"
	"syscall"
	"time"
)

const (
	// inquiryTime bounds the look whether an endpoint still takes connections: what waits for it is a retry.
	inquiryTime = 100 * time.Millisecond
	// inquiryLife is for how long its result is given again: the exchanges with an endpoint that ends all end at once.
	inquiryLife = time.Second
)

// inquiry is a look whether an endpoint still takes connections.
type inquiry struct {
	began time.Time
	// done is closed once refuses is known.
	done    chan struct{}
	refuses bool
}

// Refuses looks whether an endpoint refuses new connections, which tells the end of its process from a connection that was reset. It is
// false where the endpoint takes one, which is kept for the next exchange, and where that is not known within inquiryTime.
func (c *Client) Refuses(ctx context.Context, target Target) bool {
	one, first := c.inquiry(target.Key)
	if first {
		one.refuses = c.isRefused(ctx, target)
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
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), inquiryTime)
	defer cancel()
	c.mutex.Lock()
	h := c.host(target.Key)
	c.mutex.Unlock()
	conn, err := c.open(ctx, target, h)
	if err == nil {
		c.release(h, conn)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// forgetInquiries drops those that are not given again; the caller holds the mutex.
func (c *Client) forgetInquiries(now time.Time) {
	maps.DeleteFunc(c.inquiries, func(_ string, one *inquiry) bool { return now.Sub(one.began) >= inquiryLife })
}
