// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"time"
)

// Item is one stored key.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the key's last change; it grows with every change of any key.
	Revision int64
	// Lease is the lease that the key ends with; 0 if it is bound to none.
	Lease int64
}

// Page is a part of a range in order of keys.
type Page struct {
	Items []Item
	// More says that further keys follow the last one.
	More bool
	// At is the store's revision when the page was read.
	At int64
}

// Event is one change seen by a watch.
type Event struct {
	Item
	// Gone is set when the key was removed.
	Gone bool
}

// Condition demands that a key's last change has this revision; 0 means it is absent.
type Condition struct {
	Key      string
	Revision int64
}

// Write sets a key; a lease of 0 binds it to none.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Transaction is done whole or not at all.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	Removes    []string
}

// Client is one store. Every call returns one of this package's typed errors.
type Client struct {
	// Get reads one key, linearizably; ErrNotFound if it is absent.
	Get func(ctx context.Context, key string) (Item, error)
	// Range reads keys with a prefix that follow the key after.
	Range func(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits up to a time for changes of a prefix after a revision and gives the revision to go on from. It fails with
	// ErrCompacted when changes after the revision are no longer known.
	Watch func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Commit does a transaction and gives its revision. It fails with a ConflictError when a condition does not hold, and with
	// ErrLeaseGone when a write names a lease that is over.
	Commit func(ctx context.Context, transaction Transaction) (int64, error)
	// GrantLease makes a lease that lasts for a time, unless it is renewed.
	GrantLease func(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepLease renews a lease for its whole time; ErrLeaseGone if it is over.
	KeepLease func(ctx context.Context, lease int64) error
}

// ReadAll reads all pages of a prefix, each within a time, and gives the revision of the first page, from
// which a watch misses nothing. The time is each page's own: a large page may take longer on its way, and leaves the next one its time.
func (c *Client) ReadAll(ctx context.Context, prefix string, timeout time.Duration) ([]Item, int64, error) {
	var items []Item
	var at int64
	after := ""
	for {
		page, err := c.readPage(ctx, prefix, after, timeout)
		if err != nil {
			return nil, 0, err
		}
		if at == 0 {
			at = page.At
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, at, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

func (c *Client) readPage(ctx context.Context, prefix, after string, timeout time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.Range(ctx, prefix, after)
}
