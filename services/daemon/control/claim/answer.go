// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package claim

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/shelfledge/shelfledge/modules/daemon/kv"
	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/node/lease"
)

// ErrBadOwner reports a stored owner that cannot be read; the pool is not claimed over it.
type ErrBadOwner struct {
	Key    string
	Reason string
}

// Error names the key.
func (e ErrBadOwner) Error() string {
	return fmt.Sprintf("the owner stored under %s cannot be read: %s", e.Key, e.Reason)
}

// Last is a pool's last owner as it was read.
type Last struct {
	Owner lease.StoredOwner
	// Revision is that of the key, 0 where it does not exist.
	Revision int64
}

// Decode reads the last owner; a key that was not found tells that the pool never had one. The error is ErrBadOwner.
func Decode(pair kv.Pair, found bool) (Last, error) {
	if !found {
		return Last{}, nil
	}
	last := Last{Revision: pair.ModRevision}
	if err := json.Unmarshal(pair.Value, &last.Owner); err != nil {
		return Last{}, ErrBadOwner{Key: string(pair.Key), Reason: err.Error()}
	}
	return last, nil
}

// Holds tells from the answer to Acquire whether the pool is owned under the given lease: the transaction was done, or an
// earlier one was, whose answer was lost.
func Holds(answer kv.TxnResponse, leaseID int64) bool {
	if answer.Succeeded {
		return true
	}
	if len(answer.Responses) == 0 || answer.Responses[0].Range == nil || len(answer.Responses[0].Range.KVs) == 0 {
		return false
	}
	return answer.Responses[0].Range.KVs[0].Lease == leaseID
}

// Standing is what is known of a lease after a call to keep it alive.
type Standing int

// The standings of a lease.
const (
	// Alive leases last for their time from when the call was sent.
	Alive Standing = iota
	// Lapsed leases are unknown to the service, with all keys under them; a new one may be asked for.
	Lapsed
	// Unclear leases may last or not: the call was not answered. No right follows from them.
	Unclear
)

// StandingAfter gives the standing of a lease after the call to keep it alive gave err, or nil.
func StandingAfter(err error) Standing {
	switch {
	case err == nil:
		return Alive
	case kv.IsErrLeaseNotFound(err):
		return Lapsed
	default:
		return Unclear
	}
}

// Renewal gives what the node is told of a call to keep its lease alive that was sent at the given time.
func Renewal(sent time.Time, standing Standing) node.LeaseResult {
	if standing == Lapsed {
		return node.LeaseResult{Gone: true}
	}
	return node.LeaseResult{OK: standing == Alive, SentAt: sent}
}
