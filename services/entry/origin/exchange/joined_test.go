// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/origin"
	"github.com/shelfledge/shelfledge/services/entry/origin/exchange"
)

// assertNotJoined checks that a stream is not restricted to a software that did not begin it.
func assertNotJoined(t *testing.T, began origin.Origin, service *exchange.Service, key origin.Key) {
	t.Helper()
	result, _ := find(t, service, key)
	refused := result.Verdict == origin.Unknown || result.Verdict == origin.Ambiguous
	assert.True(t, refused || result.Origin == began, "stream %d began at %v, goes on at %v (verdict %d)", key, began, result.Origin, result.Verdict)
}

// keyNotToldTo returns a key of which one instance tells none of some others.
func (f *fleet) keyNotToldTo(began int, others ...int) origin.Key {
	key := origin.Key(1)
	for slices.ContainsFunc(others, func(i int) bool { return slices.Contains(f.told(began, key), f.instances[i].Address) }) {
		key++
	}
	return key
}
