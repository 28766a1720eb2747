// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package store_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/modules/entry/store"
)

func TestPositionsGrowThoughRevisionsAreGivenOutAgain(t *testing.T) {
	assert.EqualValues(t, 115, store.Position(0, 115), "as before the first return")
	assert.Greater(t, store.Position(1, 1), store.Position(0, 115))
	assert.Greater(t, store.Position(2, 0), store.Position(1, 1<<39))
	for _, era := range []int64{0, 1, 7} {
		position := store.Position(era, 115)
		assert.Equal(t, era, store.EraOf(position))
		assert.EqualValues(t, 115, store.RevisionOf(position))
	}
}
