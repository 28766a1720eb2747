// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/kv"
	"github.com/shelfledge/shelfledge/services/daemon/once"
)

// memoryKV is an in-memory key-value service that can lose responses or be unavailable.
type memoryKV struct {
	mutex         sync.Mutex
	values        map[string][]byte
	lostResponses int
	down          bool
	writes        int
}

func (m *memoryKV) store() once.Store {
	return once.Store{Txn: m.txn, Get: m.get, Grant: func(context.Context, time.Duration) (int64, error) { return 1, nil }}
}

func (m *memoryKV) txn(_ context.Context, r kv.TxnRequest) (kv.TxnResponse, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.down {
		return kv.TxnResponse{}, kv.ErrNotDone{Call: "txn"}
	}
	m.writes++
	for _, c := range r.Compare {
		if _, exists := m.values[string(c.Key)]; exists {
			return kv.TxnResponse{}, nil
		}
	}
	for _, op := range r.Success {
		m.values[string(op.Put.Key)] = op.Put.Value
	}
	if m.lostResponses > 0 {
		m.lostResponses--
		return kv.TxnResponse{}, kv.ErrOutcomeUnknown{Call: "txn"}
	}
	return kv.TxnResponse{Succeeded: true}, nil
}

func (m *memoryKV) get(_ context.Context, key string) (kv.Pair, bool, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.down {
		return kv.Pair{}, false, kv.ErrNotDone{Call: "get"}
	}
	v, ok := m.values[key]
	return kv.Pair{Key: []byte(key), Value: v}, ok, nil
}

func newClaimer(t *testing.T, m *memoryKV, owner string) *once.Claimer {
	c := once.New(m.store(), once.DefaultOptions("/x", owner), time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	return c
}

func TestConcurrentClaimsSucceedOnce(t *testing.T) {
	m := &memoryKV{values: make(map[string][]byte)}
	a, b := newClaimer(t, m, "a"), newClaimer(t, m, "b")
	results := make(chan once.Result, 40)
	for range 20 {
		go func() { results <- a.Claim(context.Background(), "caller", "q") }()
		go func() { results <- b.Claim(context.Background(), "caller", "q") }()
	}
	counts := make(map[once.Result]int)
	for range 40 {
		counts[<-results]++
	}
	require.Equal(t, map[once.Result]int{once.Claimed: 1, once.AlreadyClaimed: 39}, counts)
}

func TestClaimReadsBackAfterLostResponse(t *testing.T) {
	m := &memoryKV{values: make(map[string][]byte), lostResponses: 1}
	c := newClaimer(t, m, "a")
	require.Equal(t, once.Claimed, c.Claim(context.Background(), "caller", "q"))
	require.Equal(t, once.AlreadyClaimed, c.Claim(context.Background(), "caller", "q"))
}

func TestClaimIsImpossibleWhileServiceIsDown(t *testing.T) {
	m := &memoryKV{values: make(map[string][]byte), down: true}
	require.Equal(t, once.Impossible, newClaimer(t, m, "a").Claim(context.Background(), "caller", "q"))
}

func TestClaimsOfDifferentCallersDoNotCollide(t *testing.T) {
	m := &memoryKV{values: make(map[string][]byte)}
	c := newClaimer(t, m, "a")
	require.Equal(t, once.Claimed, c.Claim(context.Background(), "x", "q"))
	require.Equal(t, once.Claimed, c.Claim(context.Background(), "y", "q"))
}
