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

// paged gives a client whose ranges are the pages, one after the other, and the keys that it was asked to go on after.
func paged(pages ...store.Page) (*store.Client, *[]string) {
	asked := &[]string{}
	return &store.Client{Range: func(_ context.Context, _, after string) (store.Page, error) {
		*asked = append(*asked, after)
		if len(*asked) > len(pages) {
			return store.Page{}, &store.RefusedError{Status: 503}
		}
		return pages[len(*asked)-1], nil
	}}, asked
}

func items(keys ...string) []store.Item {
	var found []store.Item
	for _, key := range keys {
		found = append(found, store.Item{Key: key})
	}
	return found
}

func TestAllPagesAreRead(t *testing.T) {
	for name, c := range map[string]struct {
		pages []store.Page
		items []store.Item
		at    int64
		asked []string
	}{
		"nothing":               {[]store.Page{{At: 3}}, nil, 3, []string{""}},
		"one page":              {[]store.Page{{Items: items("a", "b"), At: 3}}, items("a", "b"), 3, []string{""}},
		"the first page counts": {[]store.Page{{Items: items("a", "b"), At: 3, More: true}, {Items: items("c"), At: 5}}, items("a", "b", "c"), 3, []string{"", "b"}},
		"more, but no items":    {[]store.Page{{Items: items("a"), At: 3, More: true}, {At: 5, More: true}}, items("a"), 3, []string{"", "a"}},
	} {
		client, asked := paged(c.pages...)
		found, at, err := client.ReadAll(context.Background(), "p", time.Second)
		require.NoError(t, err, name)
		assert.Equal(t, c.items, found, name)
		assert.Equal(t, c.at, at, name)
		assert.Equal(t, c.asked, *asked, name)
	}
}

func TestAFailedPageFailsTheWhole(t *testing.T) {
	client, asked := paged(store.Page{Items: items("a"), At: 3, More: true})
	found, at, err := client.ReadAll(context.Background(), "p", time.Second)
	var refused *store.RefusedError
	require.ErrorAs(t, err, &refused)
	assert.Nil(t, found)
	assert.Zero(t, at)
	assert.Len(t, *asked, 2)
}

func TestErrorsAreToldApart(t *testing.T) {
	conflict := fmt.Errorf("commit: %w", &store.ConflictError{Current: items("a", "b")})
	assert.True(t, store.IsConflict(conflict))
	assert.EqualError(t, conflict, "commit: store: conditions do not hold (2 items differ)")
	unknown := &store.UnknownError{Cause: context.DeadlineExceeded}
	assert.ErrorIs(t, unknown, context.DeadlineExceeded)
	assert.EqualError(t, unknown, "store: no answer: context deadline exceeded")
	assert.EqualError(t, &store.RefusedError{Status: 503}, "store: call refused with status 503")
	for _, err := range []error{nil, unknown, store.ErrNotFound, store.ErrLeaseGone, store.ErrCompacted, errors.New("conflict")} {
		assert.False(t, store.IsConflict(err), err)
	}
}
