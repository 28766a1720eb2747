// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package limitstore_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/limitstore"
)

// oneKey is a store with at most one key.
type oneKey struct {
	item  store.Item
	fails error
}

func (o *oneKey) keeper() *limitstore.Store {
	get := func(context.Context, string) (store.Item, error) {
		if o.fails != nil {
			return store.Item{}, o.fails
		}
		if o.item.Revision == 0 {
			return store.Item{}, store.ErrNotFound
		}
		return o.item, nil
	}
	commit := func(_ context.Context, transaction store.Transaction) (int64, error) {
		if o.fails != nil {
			return 0, o.fails
		}
		if transaction.Conditions[0] != (store.Condition{Key: limitstore.Key, Revision: o.item.Revision}) {
			return 0, &store.ConflictError{}
		}
		written := transaction.Writes[0]
		o.item = store.Item{Key: written.Key, Value: written.Value, Revision: o.item.Revision + 1}
		return o.item.Revision, nil
	}
	return &limitstore.Store{Client: store.Client{Get: get, Commit: commit}, Timeout: time.Second}
}

func limits(count int) []limitstore.Limit {
	var list []limitstore.Limit
	for i := range count {
		list = append(list, limitstore.Limit{Endpoint: deployment.EndpointID(fmt.Sprint("e", i)), PerSecond: float64(i) + 0.5})
	}
	return list
}

func TestWrittenLimitsAreRead(t *testing.T) {
	s := &oneKey{}
	kept, err := s.keeper().Read(t.Context())
	require.NoError(t, err)
	assert.Equal(t, limitstore.Kept{}, kept, "none are kept yet")
	for _, count := range []int{2, 0, limitstore.MaxLimits} {
		written, err := s.keeper().Write(t.Context(), kept.Revision, limits(count))
		require.NoError(t, err)
		kept, err = s.keeper().Read(t.Context())
		require.NoError(t, err)
		assert.Equal(t, written.Revision, kept.Revision)
		assert.ElementsMatch(t, limits(count), kept.Limits)
	}
}

func TestMoreLimitsThanAreKeptAreCutOff(t *testing.T) {
	s := &oneKey{}
	_, err := s.keeper().Write(t.Context(), 0, limits(limitstore.MaxLimits+1))
	require.NoError(t, err)
	kept, err := s.keeper().Read(t.Context())
	require.NoError(t, err)
	assert.Equal(t, limits(limitstore.MaxLimits), kept.Limits)
}

// TestLateWriteReplacesNoLaterLimits guards against a write of a former planner that is done after one of its successor.
func TestLateWriteReplacesNoLaterLimits(t *testing.T) {
	s := &oneKey{}
	first, err := s.keeper().Write(t.Context(), 0, limits(1))
	require.NoError(t, err)
	_, err = s.keeper().Write(t.Context(), first.Revision, limits(2))
	require.NoError(t, err)
	_, err = s.keeper().Write(t.Context(), first.Revision, limits(3))
	require.True(t, store.IsConflict(err))
	kept, err := s.keeper().Read(t.Context())
	require.NoError(t, err)
	assert.Equal(t, limits(2), kept.Limits)
}

func TestUnreadableLimitsAreReplaced(t *testing.T) {
	s := &oneKey{item: store.Item{Key: limitstore.Key, Value: []byte{0xc1}, Revision: 7}}
	kept, err := s.keeper().Read(t.Context())
	require.NoError(t, err)
	assert.Equal(t, limitstore.Kept{Revision: 7}, kept)
	_, err = s.keeper().Write(t.Context(), kept.Revision, limits(1))
	assert.NoError(t, err)
}

func TestFailedCallsReturnError(t *testing.T) {
	s := &oneKey{fails: &store.RefusedError{Status: 429}}
	_, err := s.keeper().Read(t.Context())
	require.ErrorIs(t, err, s.fails)
	_, err = s.keeper().Write(t.Context(), 0, limits(1))
	assert.ErrorIs(t, err, s.fails)
}
