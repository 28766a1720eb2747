// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package bytebudget

import (
	"context"
	"fmt"
	"slices"
	"sync"
)

// ErrNoRoom reports that the wait for room ended before there was any.
type ErrNoRoom struct {
	Bytes int64
	Cause error
}

// Error gives the bytes and why the wait ended.
func (e ErrNoRoom) Error() string {
	return fmt.Sprintf("no room for %d bytes: %s", e.Bytes, e.Cause)
}

// Unwrap gives why the wait ended.
func (e ErrNoRoom) Unwrap() error { return e.Cause }

// Budget is a number of bytes that may be held at a time; it is safe for concurrent use.
type Budget struct {
	mutex   sync.Mutex
	total   int64
	held    int64
	waiting []*waiter
}

// waiter is one that waits for room; ready is closed, under the mutex, when it has it.
type waiter struct {
	bytes int64
	ready chan struct{}
}

// New makes a budget of so many bytes.
func New(total int64) *Budget {
	return &Budget{total: total}
}

// Acquire waits for room for so many bytes, behind all who asked before; the error, an ErrNoRoom, says that ctx ended first.
// More than the whole budget counts as the whole. What was acquired is given back by Release with the same number.
func (b *Budget) Acquire(ctx context.Context, bytes int64) error {
	b.mutex.Lock()
	w := &waiter{bytes: min(bytes, b.total), ready: make(chan struct{})}
	b.waiting = append(b.waiting, w)
	b.admit()
	b.mutex.Unlock()
	// Room that is there at once is taken even where ctx has ended: of two ready cases, select takes either.
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
	at := slices.Index(b.waiting, w)
	if at < 0 {
		// Room came between the end of ctx and the lock.
		return nil
	}
	b.waiting = slices.Delete(b.waiting, at, at+1)
	b.admit()
	return ErrNoRoom{Bytes: bytes, Cause: ctx.Err()}
}

// Release gives back what was acquired.
func (b *Budget) Release(bytes int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.held -= min(bytes, b.total)
	b.admit()
}

// admit lets those go on, the first first, for whom there is room; the mutex is held.
func (b *Budget) admit() {
	for len(b.waiting) > 0 {
		first := b.waiting[0]
		if b.held+first.bytes > b.total {
			return
		}
		b.held += first.bytes
		b.waiting = b.waiting[1:]
		close(first.ready)
	}
}
