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

// ErrInvalidOwner reports a stored owner that cannot be decoded. The pool is then not acquired.
type ErrInvalidOwner struct {
	Key    string
	Reason string
}

// Error returns the message with the key.
func (e ErrInvalidOwner) Error() string {
	return fmt.Sprintf("cannot decode the owner stored under %s: %s", e.Key, e.Reason)
}

// LastOwner is a pool's last owner as read from the key-value service.
type LastOwner struct {
	Owner lease.StoredOwner
	// Revision is the revision of the key; 0 if the key does not exist.
	Revision int64
}

// Decode decodes the last owner. If the key was not found, the pool never had an owner. The error is an ErrInvalidOwner.
func Decode(pair kv.Pair, found bool) (LastOwner, error) {
	if !found {
		return LastOwner{}, nil
	}
	last := LastOwner{Revision: pair.ModRevision}
	if err := json.Unmarshal(pair.Value, &last.Owner); err != nil {
		return LastOwner{}, ErrInvalidOwner{Key: string(pair.Key), Reason: err.Error()}
	}
	return last, nil
}

// Holds reports whether, by the answer to Acquire, the pool is owned under the given lease: because the transaction
// succeeded, or because an earlier one had succeeded whose answer was lost.
func Holds(answer kv.TxnResponse, leaseID int64) bool {
	if answer.Succeeded {
		return true
	}
	if len(answer.Responses) == 0 || answer.Responses[0].Range == nil || len(answer.Responses[0].Range.KVs) == 0 {
		return false
	}
	return answer.Responses[0].Range.KVs[0].Lease == leaseID
}

// LeaseState is the state of a lease after a keep-alive call.
type LeaseState int

// The states of a lease.
const (
	// Alive means that the lease lasts for its TTL from the time at which the call was sent.
	Alive LeaseState = iota
	// Lapsed means that the service no longer has the lease or any key under it. A new lease may be requested.
	Lapsed
	// Unclear means that the call was not answered, so the lease may or may not exist. Orders must not rely on it.
	Unclear
)

// LeaseStateAfter returns the state of a lease after a keep-alive call that returned err.
func LeaseStateAfter(err error) LeaseState {
	switch {
	case err == nil:
		return Alive
	case kv.IsErrLeaseNotFound(err):
		return Lapsed
	default:
		return Unclear
	}
}

// Renewal returns the result that the node receives for a keep-alive call that was sent at the given time.
func Renewal(sent time.Time, state LeaseState) node.LeaseResult {
	if state == Lapsed {
		return node.LeaseResult{Expired: true}
	}
	return node.LeaseResult{OK: state == Alive, SentAt: sent}
}
