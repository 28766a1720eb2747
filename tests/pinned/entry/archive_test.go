// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry_test

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/origin"
	"github.com/shelfledge/shelfledge/services/entry/origin/archive"
	"github.com/shelfledge/shelfledge/tests/memorystore"
)

// archivedAt is the time at which the values of the test are written.
var archivedAt = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)

// TestArchivedValues pins the keys and values on streams, and that what is pinned is read.
func TestArchivedValues(t *testing.T) {
	t.Parallel()
	memory := memorystore.New(func() time.Time { return archivedAt })
	written := archive.Archive{Store: memory.Client(), Writer: 0x0123456789abcdef}
	former, present := origin.Origin{Service: "chat", Software: "1.0"}, origin.Origin{Service: "chat", Software: "2.0"}
	served := []origin.Sighting{{Origin: former, Age: 1500 * time.Millisecond}, {Origin: present}}
	until := archivedAt.Add(30 * time.Second)
	begun := []origin.Record{
		{Key: 1, Origin: former, Until: until}, {Key: 2, Origin: present, Until: until}, {Key: 3, Origin: former, Until: until},
		{Key: 4, Origin: present, Until: until, Ambiguous: true},
	}
	require.NoError(t, written.WriteServed(t.Context(), served, true, 0))
	require.NoError(t, written.WriteBegun(t.Context(), archivedAt, begun))
	page, err := written.Store.Range(t.Context(), "", "")
	require.NoError(t, err)
	checkGolden(t, "archive.txt", formatItems(page.Items))

	reader := archive.Archive{Store: memory.Client(), Writer: 2}
	content, err := reader.Read(t.Context(), archivedAt)
	require.NoError(t, err)
	assert.Zero(t, content.Unreadable)
	require.Len(t, content.Served, 1)
	assert.Equal(t, served, content.Served[0].Softwares)
	assert.ElementsMatch(t, begun, content.Begun)
}

// formatItems returns a line for each item.
func formatItems(items []store.Item) string {
	var lines strings.Builder
	for _, item := range items {
		fmt.Fprintln(&lines, item.Key, hex.EncodeToString(item.Value))
	}
	return lines.String()
}
