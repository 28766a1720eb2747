// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package configuration

import (
	"context"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/kv"
)

// reader reads the head, and the snapshot and records that lead from a given revision to the head.
type reader struct {
	client *kv.Client
	keys   keys
}

// readHead returns the head and the modification revision of its key. Both are zero if no configuration was ever stored.
func (r reader) readHead(ctx context.Context) (head, int64, error) {
	pair, found, err := r.client.Get(ctx, r.keys.head())
	if err != nil || !found {
		return head{}, 0, err
	}
	h, err := parseHead(pair.Value)
	return h, pair.ModRevision, err
}

// recordsSince returns the records after the given revision, up to the head. If the snapshot is newer than the revision, it
// returns the snapshot and the records after the snapshot.
func (r reader) recordsSince(ctx context.Context, h head, revision int64) (fleet.Records, error) {
	out := fleet.Records{Head: h.Revision}
	if h.Revision <= revision {
		return out, nil
	}
	if h.Revision == revision+1 && len(h.Last) > 0 {
		out.Records = [][]byte{h.Last}
		return out, nil
	}
	from := revision
	if revision < h.Snapshot {
		snapshot, err := r.snapshot(ctx, h)
		if err != nil {
			return out, err
		}
		out.Snapshot = snapshot
		from = h.Snapshot
	}
	if from == h.Revision {
		return out, nil
	}
	resp, err := r.client.Range(ctx, kv.RangeRequest{Key: []byte(r.keys.record(from + 1)), RangeEnd: []byte(r.keys.record(h.Revision + 1))})
	if err != nil {
		return out, err
	}
	for _, pair := range resp.KVs {
		out.Records = append(out.Records, pair.Value)
	}
	return out, nil
}

// snapshot reads all parts of the latest snapshot and joins them.
func (r reader) snapshot(ctx context.Context, h head) ([]byte, error) {
	resp, err := r.client.Range(ctx, kv.RangeRequest{Key: []byte(r.keys.part(h.Snapshot, 0)), RangeEnd: []byte(r.keys.part(h.Snapshot, h.Parts))})
	if err != nil {
		return nil, err
	}
	if len(resp.KVs) != h.Parts {
		return nil, ErrInvalidHead{Reason: "parts of the snapshot are missing"}
	}
	var out []byte
	for _, pair := range resp.KVs {
		out = append(out, pair.Value...)
	}
	return out, nil
}
