// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package store_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/store"
)

// newPagedClient returns a client whose Range returns the given pages in turn, and the list of keys after which Range was called to
// continue.
func newPagedClient(pages ...store.Page) (*store.Client, *[]string) {
	requestedAfter := &[]string{}
	return &store.Client{Range: func(_ context.Context, _, after string) (store.Page, error) {
		*requestedAfter = append(*requestedAfter, after)
		if len(*requestedAfter) > len(pages) {
			return store.Page{}, &store.RefusedError{Status: 503}
		}
		return pages[len(*requestedAfter)-1], nil
	}}, requestedAfter
}

func items(keys ...string) []store.Item {
	var found []store.Item
	for _, key := range keys {
		found = append(found, store.Item{Key: key})
	}
	return found
}

func TestReadAllReadsAllPages(t *testing.T) {
	for name, c := range map[string]struct {
		pages          []store.Page
		items          []store.Item
		at             int64
		requestedAfter []string
	}{
		"nothing":                {[]store.Page{{Revision: 3}}, nil, 3, []string{""}},
		"one page":               {[]store.Page{{Items: items("a", "b"), Revision: 3}}, items("a", "b"), 3, []string{""}},
		"revision of first page": {[]store.Page{{Items: items("a", "b"), Revision: 3, HasMore: true}, {Items: items("c"), Revision: 5}}, items("a", "b", "c"), 3, []string{"", "b"}},
		"more, but no items":     {[]store.Page{{Items: items("a"), Revision: 3, HasMore: true}, {Revision: 5, HasMore: true}}, items("a"), 3, []string{"", "a"}},
	} {
		client, requestedAfter := newPagedClient(c.pages...)
		found, at, err := client.ReadAll(context.Background(), "p", time.Second)
		require.NoError(t, err, name)
		assert.Equal(t, c.items, found, name)
		assert.Equal(t, c.at, at, name)
		assert.Equal(t, c.requestedAfter, *requestedAfter, name)
	}
}

func TestReadAllFailsOnFailedPage(t *testing.T) {
	client, requestedAfter := newPagedClient(store.Page{Items: items("a"), Revision: 3, HasMore: true})
	found, at, err := client.ReadAll(context.Background(), "p", time.Second)
	var refused *store.RefusedError
	require.ErrorAs(t, err, &refused)
	assert.Nil(t, found)
	assert.Zero(t, at)
	assert.Len(t, *requestedAfter, 2)
}

func TestErrorTypesAndTexts(t *testing.T) {
	conflict := fmt.Errorf("commit: %w", &store.ConflictError{Current: items("a", "b")})
	assert.True(t, store.IsConflict(conflict))
	assert.EqualError(t, conflict, "commit: store: conditions do not hold (2 items differ)")
	unknown := &store.UnknownError{Cause: context.DeadlineExceeded}
	assert.ErrorIs(t, unknown, context.DeadlineExceeded)
	assert.EqualError(t, unknown, "store: no answer: context deadline exceeded")
	assert.EqualError(t, &store.RefusedError{Status: 503}, "store: call refused with status 503")
	for _, err := range []error{nil, unknown, store.ErrNotFound, store.ErrLeaseExpired, store.ErrCompacted, errors.New("conflict")} {
		assert.False(t, store.IsConflict(err), err)
	}
}
