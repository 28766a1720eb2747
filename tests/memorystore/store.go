// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package memorystore

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/modules/entry/store"
)

// pageItems is the number of items of a page.
const pageItems = 500

// Store is a store in memory. The zero value is not usable; see New.
type Store struct {
	mutex    sync.Mutex
	now      func() time.Time
	revision int64
	items    map[string]store.Item
	leases   map[int64]lease
	counts   Counts
	fails    error
}

// lease is how long a lease lasts from each renewal on.
type lease struct {
	ttl   time.Duration
	until time.Time
}

// Counts are the calls so far.
type Counts struct {
	Reads, Writes, Grants, Renewals int
}

// New returns an empty store whose leases follow a clock.
func New(now func() time.Time) *Store {
	return &Store{now: now, items: make(map[string]store.Item), leases: make(map[int64]lease)}
}

// Client returns a client of the store.
func (s *Store) Client() store.Client {
	return store.Client{Get: s.get, Range: s.readRange, Commit: s.commit, GrantLease: s.grant, RenewLease: s.renew, Era: s.era}
}

// Fail lets all calls fail with an error, none if it is nil.
func (s *Store) Fail(err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fails = err
}

// Counts returns the calls so far.
func (s *Store) Counts() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counts
}

// Keys returns all keys, sorted.
func (s *Store) Keys() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	return slices.Sorted(maps.Keys(s.items))
}

// RevokeLeases ends all leases, and removes their keys.
func (s *Store) RevokeLeases() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	clear(s.leases)
	maps.DeleteFunc(s.items, func(_ string, item store.Item) bool { return item.Lease != 0 })
}

// Put sets a key without a lease.
func (s *Store) Put(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.items[key] = store.Item{Key: key, Value: value, Revision: s.revision}
}

// expire removes the leases that have ended, and their keys.
func (s *Store) expire() {
	for id, granted := range s.leases {
		if s.now().Before(granted.until) {
			continue
		}
		delete(s.leases, id)
		maps.DeleteFunc(s.items, func(_ string, item store.Item) bool { return item.Lease == id })
	}
}

func (s *Store) get(_ context.Context, key string) (store.Item, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Reads++
	if s.fails != nil {
		return store.Item{}, s.fails
	}
	s.expire()
	item, exists := s.items[key]
	if !exists {
		return store.Item{}, store.ErrNotFound
	}
	return item, nil
}

func (s *Store) readRange(_ context.Context, prefix, after string) (store.Page, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Reads++
	if s.fails != nil {
		return store.Page{}, s.fails
	}
	s.expire()
	page := store.Page{Revision: s.revision}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(page.Items) == pageItems {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	return page, nil
}

func (s *Store) commit(_ context.Context, transaction store.Transaction) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Writes++
	if s.fails != nil {
		return 0, s.fails
	}
	s.expire()
	for _, condition := range transaction.Conditions {
		if current := s.items[condition.Key]; current.Revision != condition.Revision {
			return 0, &store.ConflictError{Current: []store.Item{current}}
		}
	}
	for _, written := range transaction.Writes {
		if _, exists := s.leases[written.Lease]; written.Lease != 0 && !exists {
			return 0, store.ErrLeaseExpired
		}
	}
	s.revision++
	for _, written := range transaction.Writes {
		s.items[written.Key] = store.Item{Key: written.Key, Value: written.Value, Revision: s.revision, Lease: written.Lease}
	}
	return s.revision, nil
}

func (s *Store) grant(_ context.Context, ttl time.Duration) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Grants++
	if s.fails != nil {
		return 0, s.fails
	}
	id := int64(s.counts.Grants)
	s.leases[id] = lease{ttl: ttl, until: s.now().Add(ttl)}
	return id, nil
}

func (s *Store) renew(_ context.Context, id int64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Renewals++
	if s.fails != nil {
		return s.fails
	}
	s.expire()
	granted, exists := s.leases[id]
	if !exists {
		return store.ErrLeaseExpired
	}
	s.leases[id] = lease{ttl: granted.ttl, until: s.now().Add(granted.ttl)}
	return nil
}

// Copy is the content of a store at one time.
type Copy struct {
	items  map[string]store.Item
	leases map[int64]lease
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	return Copy{items: maps.Clone(s.items), leases: maps.Clone(s.leases)}
}

// Return lets the store come back from a copy, in a higher era. Its leases last for their full time from now on.
func (s *Store) Return(from Copy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.items, s.leases = maps.Clone(from.items), maps.Clone(from.leases)
	for id, granted := range s.leases {
		s.leases[id] = lease{ttl: granted.ttl, until: s.now().Add(granted.ttl)}
	}
	s.revision = store.Position(store.EraOf(s.revision)+1, store.RevisionOf(s.revision))
	for key, item := range s.items {
		item.Revision = store.Position(store.EraOf(s.revision), store.RevisionOf(item.Revision))
		s.items[key] = item
	}
}

func (s *Store) era() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return store.EraOf(s.revision)
}
