// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/daemon/node/lease"
)

func TestSuccessorWaitsForAllFormerOwnersNotKnownToHaveEnded(t *testing.T) {
	var s lease.StoredOwner
	for _, row := range []struct {
		name    string
		id      string
		boot    uint64
		formers []lease.FormerOwner
	}{
		{"no former owner", "i1", 4, nil},
		{"the same run again after a lost answer", "i1", 4, nil},
		{"another instance", "i2", 7, []lease.FormerOwner{first}},
		{"a later run of the same instance", "i2", 8, []lease.FormerOwner{first, second}},
	} {
		s = s.Successor(row.id, row.boot)
		require.Equal(t, lease.StoredOwner{Holder: row.id, Boot: row.boot, FormerOwners: row.formers}, s, row.name)
	}
	require.True(t, s.IsRun("i2", 8))
	require.False(t, s.IsRun("i2", 7))
	require.False(t, s.IsRun("i1", 8))
	require.Equal(t, lease.StoredOwner{Holder: "i2", Boot: 8}, s.Settled())
}

func TestStoredOwnerEncoding(t *testing.T) {
	const stored = `{"holder":"i2","boot":7,"formers":[{"ID":"i1","Boot":4}]}`
	data, err := json.Marshal(lease.StoredOwner{Holder: "i2", Boot: 7, FormerOwners: []lease.FormerOwner{first}})
	require.NoError(t, err)
	require.Equal(t, stored, string(data), "other versions of the program read this form")
	data, err = json.Marshal(lease.StoredOwner{Holder: "i2", Boot: 7})
	require.NoError(t, err)
	require.Equal(t, `{"holder":"i2","boot":7}`, string(data))
}
