// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"time"
)

// Item is one stored key.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Lease    int64
}

// Page is a part of a range in order of keys.
type Page struct {
	Items []Item
	More  bool
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
	// Get reads one key, linearizably.
	Get func(ctx context.Context, key string) (Item, error)
	// Range reads keys with a prefix that follow the key after.
	Range func(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits for changes of a prefix after a revision and gives the revision to go on from.
	Watch func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Commit does a transaction and gives its revision.
	Commit func(ctx context.Context, transaction Transaction) (int64, error)
	// GrantLease makes a lease.
	GrantLease func(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepLease renews a lease.
	KeepLease func(ctx context.Context, lease int64) error
}

// ReadAll reads all pages of a prefix and gives the revision of the first page, from
// which a watch misses nothing.
func (c *Client) ReadAll(ctx context.Context, prefix string) ([]Item, int64, error) {
	var items []Item
	var at int64
	after := ""
	for {
		page, err := c.Range(ctx, prefix, after)
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
