// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package bytebudget

import (
	"context"
	"fmt"
	"slices"
	"sync"
)

// ErrBudgetExhausted reports that the context of an Acquire ended before enough bytes were free.
type ErrBudgetExhausted struct {
	Bytes int64
	Cause error
}

// Error returns the number of requested bytes and the cause.
func (e ErrBudgetExhausted) Error() string {
	return fmt.Sprintf("no room for %d bytes: %s", e.Bytes, e.Cause)
}

// Unwrap returns the error of the context.
func (e ErrBudgetExhausted) Unwrap() error { return e.Cause }

// Budget limits the number of bytes that may be held at a time. It is safe for concurrent use.
type Budget struct {
	mutex   sync.Mutex
	total   int64
	held    int64
	waiters []*waiter
}

// waiter is a pending Acquire. ready is closed, under the mutex, when its bytes are acquired.
type waiter struct {
	bytes int64
	ready chan struct{}
}

// New returns a Budget of total bytes.
func New(total int64) *Budget {
	return &Budget{total: total}
}

// Acquire waits until bytes are free and takes them; earlier calls are served first. It returns an ErrBudgetExhausted if ctx ends first.
// A number above the total of the budget counts as the total. The bytes are given back by Release with the same number.
func (b *Budget) Acquire(ctx context.Context, bytes int64) error {
	b.mutex.Lock()
	w := &waiter{bytes: min(bytes, b.total), ready: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	b.admit()
	b.mutex.Unlock()
	// Bytes that are free at once are acquired even if ctx has ended. This needs a separate select, since select chooses at random among
	// several ready cases.
	select {
	case <-w.ready:
		return nil
	default:
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	at := slices.Index(b.waiters, w)
	if at < 0 {
		// The bytes were acquired between the end of ctx and the lock.
		return nil
	}
	b.waiters = slices.Delete(b.waiters, at, at+1)
	b.admit()
	return ErrBudgetExhausted{Bytes: bytes, Cause: ctx.Err()}
}

// Release gives back the bytes of an Acquire.
func (b *Budget) Release(bytes int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.held -= min(bytes, b.total)
	b.admit()
}

// admit serves waiters in order until one does not fit; the caller holds the mutex.
func (b *Budget) admit() {
	for len(b.waiters) > 0 {
		first := b.waiters[0]
		if b.held+first.bytes > b.total {
			return
		}
		b.held += first.bytes
		b.waiters = b.waiters[1:]
		close(first.ready)
	}
}
