// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package archive

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/origin"
)

// Prefixes of the keys. The writer's number follows, and that of its key.
const (
	prefix       = "shelfledge/streams/"
	servedPrefix = prefix + "served/"
	begunPrefix  = prefix + "begun/"
	// keptKey has no lease. It tells an archive whose leases have run out from one that was never written.
	keptKey = prefix + "kept"
)

// writerBase is the base in which keys have the number of a process.
const writerBase = 16

const (
	// callTimeout bounds a call to the store, and the reading of each page. A higher value tolerates a slower store, a lower one tries again
	// sooner.
	callTimeout = 2 * time.Second
	// leaseFactor is for how many times the longest stream of its first batch a lease lasts. A higher value grants fewer leases, a lower one
	// frees the store's memory sooner.
	leaseFactor = 2
	// minLease is the shortest lease that the platform's store grants.
	minLease = time.Second
	// MaxBatch bounds the streams of a batch. A higher value writes less often after a standstill, a lower one keeps values small.
	MaxBatch = 8192
)

// Archive writes and reads the archive. Writer tells the keys of this process from those of others.
type Archive struct {
	Store  store.Client
	Writer uint64

	// servedLease is the lease of the softwares' present key, 0 for none, and servedKeys counts their keys.
	servedLease int64
	servedKeys  uint32
	// begunUntil is when the lease of the streams may end, and batches counts their keys.
	begunLease int64
	begunUntil time.Time
	batches    uint32
	// usedLease is the lease of what this process uses, 0 for none, and usedKeys counts the keys of it.
	usedLease int64
	usedKeys  uint32
	// era is that of the store as last seen.
	era int64
}

// Content is what the archive knows.
type Content struct {
	// Revision is the store's position at the reading.
	Revision int64
	// Served are the statements on softwares that served. Those of this process name none: it knows them.
	Served []Statement
	// Begun are streams that began while several softwares were known, of this process as well.
	Begun []origin.Record
	// Uses are the softwares at which processes begin streams, this one included.
	Uses []origin.Use
	// Unreadable counts the entries that were not understood.
	Unreadable int
	// Kept is set if the archive was written before, perhaps so long ago that nothing of it is left. WholeEra is the era of the store up to which
	// all uses are there: those of processes that are gone may be missing in a copy of the store.
	Kept     bool
	WholeEra int64
}

// IsComplete reports whether the archive names all softwares that served within origin.MaxLifetime.
func (c *Content) IsComplete() bool {
	if c.Unreadable > 0 {
		return false
	}
	isComplete := func(stated Statement) bool { return stated.Complete }
	return !c.Kept || slices.ContainsFunc(c.Served, isComplete)
}

// Statement is what one process stated at a position of the store.
type Statement struct {
	Revision int64
	// Softwares are older than stated by the time since then, which is at most origin.MaxLifetime.
	Softwares []origin.Sighting
	// Complete is set if the process knew all softwares that had served.
	Complete bool
	// Process is the number of the process, Known what it named, also if that is this process.
	Process uint64
	Known   []origin.Origin
	key     string
}

// newStatement returns what a value of a process states.
func newStatement(item store.Item, value *servedValue) (Statement, error) {
	process, _, _ := strings.Cut(strings.TrimPrefix(item.Key, servedPrefix), "-")
	number, err := strconv.ParseUint(process, writerBase, 64)
	if err != nil {
		return Statement{}, fmt.Errorf("%w: %w", errUnreadable, err)
	}
	stated := Statement{
		Revision: item.Revision, Softwares: value.sightings(), Complete: value.Complete, Process: number, key: item.Key,
	}
	for _, seen := range stated.Softwares {
		stated.Known = append(stated.Known, seen.Origin)
	}
	return stated, nil
}

// MayUse returns the uses that a process may not have been able to state before it was gone: it knew of the softwares.
func (s *Statement) MayUse() []origin.Use {
	uses := make([]origin.Use, 0, len(s.Known))
	for _, known := range s.Known {
		uses = append(uses, origin.Use{User: origin.User{Process: s.Process}, Origin: known})
	}
	return uses
}

// Read reads the archive. The error is one of package store.
func (a *Archive) Read(ctx context.Context, now time.Time) (Content, error) {
	items, revision, err := a.Store.ReadAll(ctx, prefix, callTimeout)
	if err != nil {
		return Content{}, err
	}
	content := Content{Revision: revision}
	for _, item := range items {
		if err := content.add(now, item); err != nil {
			content.Unreadable++
		}
	}
	for i := range content.Served {
		if strings.HasPrefix(content.Served[i].key, a.own(servedPrefix)) {
			// This process knows them, and how old they are.
			content.Served[i].Softwares = nil
		}
	}
	return content, nil
}

// add adds an entry.
func (c *Content) add(now time.Time, item store.Item) error {
	switch {
	case item.Key == keptKey:
		c.Kept, c.WholeEra = true, decodeEra(item.Value)
	case strings.HasPrefix(item.Key, servedPrefix):
		var value servedValue
		if err := decode(item.Value, &value); err != nil {
			return err
		}
		stated, err := newStatement(item, &value)
		if err != nil {
			return err
		}
		c.Served = append(c.Served, stated)
	case strings.HasPrefix(item.Key, begunPrefix):
		var value begunValue
		if err := decode(item.Value, &value); err != nil {
			return err
		}
		records, err := value.records(now)
		if err != nil {
			return err
		}
		c.Begun = append(c.Begun, records...)
	case strings.HasPrefix(item.Key, usedPrefix):
		return c.addUse(item)
	}
	return nil
}

// WriteServed replaces the softwares that this process knows to have served lately. Complete states that these are all,
// and wholeEra up to which era of the store it is known that all uses are there. They stay for origin.MaxLifetime unless they are renewed. After an
// error another key is used, since a write without an answer may still be done, after later ones. The error is one of package store.
func (a *Archive) WriteServed(ctx context.Context, served []origin.Sighting, complete bool, wholeEra int64) error {
	value, err := encode(newServedValue(served, complete))
	if err != nil {
		return err
	}
	if a.servedLease == 0 {
		if a.servedLease, err = a.grant(ctx, origin.MaxLifetime); err != nil {
			return err
		}
		a.servedKeys++
	}
	err = a.write(ctx,
		store.Write{Key: a.key(servedPrefix, a.servedKeys), Value: value, Lease: a.servedLease},
		store.Write{Key: keptKey, Value: encodeEra(wholeEra)})
	if err != nil {
		a.servedLease = 0
	}
	return err
}

// RenewServed lets the softwares stay for origin.MaxLifetime from now on. After store.ErrLeaseExpired they have to be written again.
func (a *Archive) RenewServed(ctx context.Context) error {
	err := a.renew(ctx, a.servedLease)
	if errors.Is(err, store.ErrLeaseExpired) {
		a.servedLease = 0
	}
	return err
}

// WriteBegun writes a batch of at most MaxBatch streams, which stays for as long as they can be taken up. After an error the batch may have
// been written; it can be written again. The error is one of package store.
func (a *Archive) WriteBegun(ctx context.Context, now time.Time, records []origin.Record) error {
	batch := newBegunValue(now, records)
	value, err := encode(batch)
	if err != nil {
		return err
	}
	if err := a.leaseBegun(ctx, now, time.Duration(batch.Remaining)*time.Millisecond); err != nil {
		return err
	}
	a.batches++
	err = a.write(ctx, store.Write{Key: a.key(begunPrefix, a.batches), Value: value, Lease: a.begunLease})
	if errors.Is(err, store.ErrLeaseExpired) {
		a.begunUntil = time.Time{}
	}
	return err
}

// leaseBegun grants another lease if the present one may end before streams that remain for a time.
func (a *Archive) leaseBegun(ctx context.Context, now time.Time, remaining time.Duration) error {
	if a.begunUntil.After(now.Add(remaining)) {
		return nil
	}
	ttl := min(max(leaseFactor*remaining, minLease), origin.MaxLifetime)
	lease, err := a.grant(ctx, ttl)
	if err != nil {
		return err
	}
	// The store counts from when the call arrives, which is after now.
	a.begunLease, a.begunUntil = lease, now.Add(ttl)
	return nil
}

// EraChanged reports whether the store came back from a copy since the last call. The leases of before are not relied on any more.
func (a *Archive) EraChanged() bool {
	era := a.Store.CurrentEra()
	if era == a.era {
		return false
	}
	a.era, a.servedLease, a.usedLease, a.begunUntil = era, 0, 0, time.Time{}
	return true
}

// own returns the prefix of the keys of this process.
func (a *Archive) own(prefix string) string {
	return fmt.Sprintf("%s%016x-", prefix, a.Writer)
}

// key returns a key of this process.
func (a *Archive) key(prefix string, number uint32) string {
	return fmt.Sprintf("%s%08x", a.own(prefix), number)
}

func (a *Archive) grant(ctx context.Context, ttl time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.Store.GrantLease(ctx, ttl)
}

func (a *Archive) renew(ctx context.Context, lease int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.Store.RenewLease(ctx, lease)
}

func (a *Archive) write(ctx context.Context, written ...store.Write) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := a.Store.Commit(ctx, store.Transaction{Writes: written})
	return err
}
