// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package configuration

import (
	"context"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/kv"
)

// reader reads what leads from a revision in hand to the head.
type reader struct {
	client *kv.Client
	keys   keys
}

// headNow reads the head; a revision of zero means that nothing was ever stored.
func (r reader) headNow(ctx context.Context) (head, int64, error) {
	pair, found, err := r.client.Get(ctx, r.keys.head())
	if err != nil || !found {
		return head{}, 0, err
	}
	h, err := parseHead(pair.Value)
	return h, pair.ModRevision, err
}

// since reads the records after a revision, and the snapshot if they do not reach back that far.
func (r reader) since(ctx context.Context, h head, have int64) (fleet.Records, error) {
	out := fleet.Records{Head: h.Revision}
	if h.Revision <= have {
		return out, nil
	}
	if h.Revision == have+1 && len(h.Last) > 0 {
		out.Records = [][]byte{h.Last}
		return out, nil
	}
	from := have
	if have < h.Snapshot {
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

func (r reader) snapshot(ctx context.Context, h head) ([]byte, error) {
	resp, err := r.client.Range(ctx, kv.RangeRequest{Key: []byte(r.keys.part(h.Snapshot, 0)), RangeEnd: []byte(r.keys.part(h.Snapshot, h.Parts))})
	if err != nil {
		return nil, err
	}
	if len(resp.KVs) != h.Parts {
		return nil, ErrBadHead{Reason: "parts of the snapshot are missing"}
	}
	var out []byte
	for _, pair := range resp.KVs {
		out = append(out, pair.Value...)
	}
	return out, nil
}
