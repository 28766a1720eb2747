// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"time"
)

// Item is a stored key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the position of the key's last change in the history of the store, see Position. It grows with each change of any key.
	Revision int64
	// Lease is the lease whose end deletes the key; 0 for a key without a lease.
	Lease int64
}

// Page is a part of a range, in the order of the keys.
type Page struct {
	Items []Item
	// HasMore reports whether further keys follow the last one.
	HasMore bool
	// Revision is the store's position when the page was read.
	Revision int64
}

// Event is a change received by a watch.
type Event struct {
	Item
	// Deleted is set if the key was deleted.
	Deleted bool
}

// Condition requires that a key's last change has the given revision; 0 requires that the key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write sets a key; Lease is 0 for a key without a lease.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Transaction is applied atomically.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// Client gives access to one store. All calls return the typed errors of this package.
type Client struct {
	// Get reads one key, linearizably. It returns ErrNotFound if the key does not exist.
	Get func(ctx context.Context, key string) (Item, error)
	// Range reads keys with a prefix that are greater than after, in order.
	Range func(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits up to a time for changes under a prefix after a revision, and returns the revision to continue from. It returns
	// ErrCompacted if changes after the revision are no longer in the history.
	Watch func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Commit applies a transaction and returns its revision. It returns a ConflictError if a condition does not hold, and ErrLeaseExpired
	// if a write names an expired lease.
	Commit func(ctx context.Context, transaction Transaction) (int64, error)
	// GrantLease creates a lease that lasts for a time unless it is renewed.
	GrantLease func(ctx context.Context, ttl time.Duration) (int64, error)
	// RenewLease renews a lease for its full time. It returns ErrLeaseExpired if the lease has expired.
	RenewLease func(ctx context.Context, lease int64) error
	// Era returns the highest era that the store has told so far; nil if the store never comes back from a copy.
	Era func() int64
}

// CurrentEra returns the highest era that the store has told so far.
func (c *Client) CurrentEra() int64 {
	if c.Era == nil {
		return 0
	}
	return c.Era()
}

// ReadAll reads all pages of a prefix and returns the revision of the first page, from which a watch misses no change. The timeout applies
// to each page, so that a large page that takes long does not reduce the time for the next one.
func (c *Client) ReadAll(ctx context.Context, prefix string, timeout time.Duration) ([]Item, int64, error) {
	var items []Item
	var at int64
	after := ""
	era := int64(-1)
	for {
		page, err := c.readPage(ctx, prefix, after, timeout)
		if err != nil {
			return nil, 0, err
		}
		if at == 0 {
			at = page.Revision
		}
		if known := EraOf(page.Revision); era >= 0 && known != era {
			// The pages belong to different histories.
			return nil, 0, ErrCompacted
		}
		era = EraOf(page.Revision)
		items = append(items, page.Items...)
		if !page.HasMore || len(page.Items) == 0 {
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
