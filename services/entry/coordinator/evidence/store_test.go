// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package evidence_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/modules/fingerprint"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/evidence"
	"github.com/shelfledge/shelfledge/services/quarantine"
	"github.com/shelfledge/shelfledge/tests/memorystore"
)

// fixture is a store with two instances, and a clock.
type fixture struct {
	t          *testing.T
	now        time.Time
	store      *memorystore.Store
	one, other *evidence.Store
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, now: time.Unix(1000, 0)}
	f.store = memorystore.New(func() time.Time { return f.now })
	f.one = &evidence.Store{Client: f.store.Client(), Timeout: time.Second}
	f.other = &evidence.Store{Client: f.store.Client(), Timeout: time.Second}
	return f
}

func (f *fixture) read(from *evidence.Store) evidence.Content {
	f.t.Helper()
	content, err := from.Read(f.t.Context())
	require.NoError(f.t, err)
	return content
}

func crash(request byte, endpoint string, age time.Duration) quarantine.Crash {
	return quarantine.Crash{Request: fingerprint.Fingerprint{request}, Endpoint: endpoint, Age: age}
}

func TestEvidenceIsReadAsWritten(t *testing.T) {
	f := newFixture(t)
	empty := f.read(f.one)
	assert.True(t, empty.IsEmpty())
	written := evidence.Content{
		Requests: []quarantine.Crash{crash(1, "e1", 20*time.Millisecond), crash(1, "e2", time.Hour)},
		Parts:    []quarantine.Crash{{Request: fingerprint.Fingerprint{2}, Endpoint: "e1", AnsweredBefore: true}},
		Brittle:  []evidence.Brittle{{Service: "chat", Rejections: 2.5}},
	}
	require.NoError(t, f.one.Write(t.Context(), written))
	assert.Equal(t, written, f.read(f.other))
}

func TestEvidenceOfAnotherInstanceIsNotOverwrittenUnread(t *testing.T) {
	f := newFixture(t)
	f.read(f.one)
	f.read(f.other)
	first := evidence.Content{Requests: []quarantine.Crash{crash(1, "e1", 0)}}
	require.NoError(t, f.one.Write(t.Context(), first))
	second := evidence.Content{Requests: []quarantine.Crash{crash(2, "e2", 0)}}
	err := f.other.Write(t.Context(), second)
	require.True(t, store.IsConflict(err), "%v", err)
	assert.True(t, first.IsSame(new(f.read(f.other))))
	require.NoError(t, f.other.Write(t.Context(), second))
	require.NoError(t, f.other.Write(t.Context(), first), "an instance may write again what it wrote")
}

func TestStoreForgetsEvidenceThatNobodyRenews(t *testing.T) {
	f := newFixture(t)
	content := evidence.Content{Requests: []quarantine.Crash{crash(1, "e1", 0)}}
	require.NoError(t, f.one.Write(t.Context(), content))
	for range 20 {
		f.now = f.now.Add(evidence.RenewInterval)
		require.NoError(t, f.one.Write(t.Context(), content))
	}
	kept := f.read(f.other)
	assert.False(t, kept.IsEmpty())
	f.now = f.now.Add(11 * time.Minute)
	kept = f.read(f.one)
	assert.True(t, kept.IsEmpty())
	require.NoError(t, f.one.Write(t.Context(), content), "the lease has expired")
}

func TestUnreadableEvidenceIsReplaced(t *testing.T) {
	for name, value := range map[string][]byte{
		"empty": {}, "other version": {2}, "no content": {1}, "foreign": []byte("\x01foreign"),
		"short fingerprint": append([]byte{1}, "\x81\xa1r\x91\x83\xa1r\xc4\x01\x07\xa1e\xa2e1\xa1g\x05"...),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.store.Put(evidence.Key, value)
			_, err := f.one.Read(t.Context())
			require.ErrorIs(t, err, evidence.ErrUnreadable)
			require.NoError(t, f.one.Write(t.Context(), evidence.Content{Parts: []quarantine.Crash{crash(1, "e1", 0)}}))
			assert.Len(t, f.read(f.other).Parts, 1)
		})
	}
}

func TestContentsWithOtherCrashesDiffer(t *testing.T) {
	one := evidence.Content{Requests: []quarantine.Crash{crash(1, "e1", 0), crash(1, "e2", 0)}}
	older := evidence.Content{Requests: []quarantine.Crash{crash(1, "e2", time.Second), crash(1, "e1", time.Minute)}}
	assert.True(t, one.IsSame(&older))
	for _, other := range []evidence.Content{
		{}, {Parts: one.Requests}, {Requests: one.Requests[:1]}, {Requests: []quarantine.Crash{crash(1, "e1", 0), crash(1, "e3", 0)}},
		{Requests: one.Requests, Brittle: []evidence.Brittle{{Service: "chat"}}},
	} {
		assert.False(t, one.IsSame(&other))
		assert.False(t, other.IsSame(&one))
	}
}
