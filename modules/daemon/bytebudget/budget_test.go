// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package bytebudget_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/bytebudget"
)

const patience = 10 * time.Second

// acquire asks in the background; the channel gives the result.
func acquire(ctx context.Context, b *bytebudget.Budget, bytes int64) <-chan error {
	done := make(chan error, 1)
	go func() { done <- b.Acquire(ctx, bytes) }()
	return done
}

func requireWaits(t *testing.T, done <-chan error) {
	t.Helper()
	select {
	case err := <-done:
		require.Fail(t, "it does not wait", "%v", err)
	case <-time.After(20 * time.Millisecond):
	}
}

func requireDone(t *testing.T, done <-chan error) {
	t.Helper()
	select {
	case err := <-done:
		require.NoError(t, err)
	case <-time.After(patience):
		require.Fail(t, "it waits")
	}
}

func TestRoomIsGivenInTheOrderOfAsking(t *testing.T) {
	ctx := context.Background()
	b := bytebudget.New(10)
	require.NoError(t, b.Acquire(ctx, 6))
	large := acquire(ctx, b, 8)
	requireWaits(t, large)
	small := acquire(ctx, b, 1)
	requireWaits(t, small)
	b.Release(6)
	requireDone(t, large)
	requireDone(t, small)
	require.NoError(t, b.Acquire(ctx, 1))
}

func TestMoreThanTheBudgetWaitsForAllOfIt(t *testing.T) {
	ctx := context.Background()
	b := bytebudget.New(10)
	require.NoError(t, b.Acquire(ctx, 1))
	larger := acquire(ctx, b, 11)
	requireWaits(t, larger)
	b.Release(1)
	requireDone(t, larger)
	b.Release(11)
	require.NoError(t, b.Acquire(ctx, 10))
}

func TestOneThatGivesUpLeavesItsPlaceToOthers(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	b := bytebudget.New(10)
	require.NoError(t, b.Acquire(ctx, 6))
	large := acquire(ctx, b, 8)
	requireWaits(t, large)
	small := acquire(context.Background(), b, 4)
	requireWaits(t, small)
	cancel()
	var noRoom bytebudget.ErrNoRoom
	require.ErrorAs(t, <-large, &noRoom)
	require.ErrorIs(t, noRoom, context.Canceled)
	require.Equal(t, "no room for 8 bytes: context canceled", noRoom.Error())
	requireDone(t, small)
}

func TestNoMoreThanTheBudgetIsHeldByMany(t *testing.T) {
	const total = 100
	b := bytebudget.New(total)
	var held atomic.Int64
	var done sync.WaitGroup
	for i := range 200 {
		done.Go(func() {
			bytes := int64(1 + i%total)
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+i%7)*time.Millisecond)
			defer cancel()
			if b.Acquire(ctx, bytes) != nil {
				return
			}
			if now := held.Add(bytes); now > total {
				t.Errorf("%d bytes are held", now)
			}
			time.Sleep(100 * time.Microsecond)
			held.Add(-bytes)
			b.Release(bytes)
		})
	}
	done.Wait()
	require.NoError(t, b.Acquire(context.Background(), total), "all was given back")
}
