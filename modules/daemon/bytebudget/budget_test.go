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

const testTimeout = 10 * time.Second

// acquireAsync calls Acquire in a goroutine; the channel receives its result.
func acquireAsync(ctx context.Context, b *bytebudget.Budget, bytes int64) <-chan error {
	done := make(chan error, 1)
	go func() { done <- b.Acquire(ctx, bytes) }()
	return done
}

func requireBlocked(t *testing.T, done <-chan error) {
	t.Helper()
	select {
	case err := <-done:
		require.Fail(t, "Acquire returned instead of waiting", "%v", err)
	case <-time.After(20 * time.Millisecond):
	}
}

func requireAcquired(t *testing.T, done <-chan error) {
	t.Helper()
	select {
	case err := <-done:
		require.NoError(t, err)
	case <-time.After(testTimeout):
		require.Fail(t, "Acquire did not return in time")
	}
}

func TestAcquireIsFirstComeFirstServed(t *testing.T) {
	ctx := context.Background()
	b := bytebudget.New(10)
	require.NoError(t, b.Acquire(ctx, 6))
	large := acquireAsync(ctx, b, 8)
	requireBlocked(t, large)
	small := acquireAsync(ctx, b, 1)
	requireBlocked(t, small)
	b.Release(6)
	requireAcquired(t, large)
	requireAcquired(t, small)
	require.NoError(t, b.Acquire(ctx, 1))
}

func TestOversizedAcquireWaitsForWholeBudget(t *testing.T) {
	ctx := context.Background()
	b := bytebudget.New(10)
	require.NoError(t, b.Acquire(ctx, 1))
	larger := acquireAsync(ctx, b, 11)
	requireBlocked(t, larger)
	b.Release(1)
	requireAcquired(t, larger)
	b.Release(11)
	require.NoError(t, b.Acquire(ctx, 10))
}

func TestCancelledAcquireUnblocksNextWaiter(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	b := bytebudget.New(10)
	require.NoError(t, b.Acquire(ctx, 6))
	large := acquireAsync(ctx, b, 8)
	requireBlocked(t, large)
	small := acquireAsync(context.Background(), b, 4)
	requireBlocked(t, small)
	cancel()
	var exhausted bytebudget.ErrBudgetExhausted
	require.ErrorAs(t, <-large, &exhausted)
	require.ErrorIs(t, exhausted, context.Canceled)
	require.Equal(t, "no room for 8 bytes: context canceled", exhausted.Error())
	requireAcquired(t, small)
}

func TestConcurrentAcquiresStayWithinBudget(t *testing.T) {
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
	require.NoError(t, b.Acquire(context.Background(), total), "all bytes were released")
}
