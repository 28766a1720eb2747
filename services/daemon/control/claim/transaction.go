// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package claim

import (
	"encoding/json"

	"github.com/shelfledge/shelfledge/modules/daemon/kv"
	"github.com/shelfledge/shelfledge/services/daemon/node/lease"
)

// Keys are a pool's two keys. Other versions of the program read both.
type Keys struct {
	// Lease exists while an instance owns the pool; it lapses with that instance's lease.
	Lease string
	// Owner outlives the lease and names the last owner.
	Owner string
}

// KeysOf gives the keys of a pool below the settings' prefix.
func KeysOf(prefix, pool string) Keys {
	return Keys{Lease: prefix + "/lease/" + pool, Owner: prefix + "/owner/" + pool}
}

// Attempt is what a call to own a pool works with.
type Attempt struct {
	Keys Keys
	// Lease is the identifier of the caller's lease at the service.
	Lease int64
	// Revision is the one at which the key of the last owner was read, 0 where there was none.
	Revision int64
	// Owner is what is to be stored as the last owner.
	Owner lease.StoredOwner
}

// Acquire gives the transaction that owns a pool: done only where no lease key stands and no other instance has
// written the owner since it was read. Otherwise it answers with the lease key, for Holds.
func Acquire(a Attempt) kv.TxnRequest {
	leaseKey, ownerKey, value := []byte(a.Keys.Lease), []byte(a.Keys.Owner), encode(a.Owner)
	return kv.TxnRequest{
		Compare: []kv.Compare{
			{Key: leaseKey, Target: kv.TargetCreate, Result: kv.ResultEqual},
			{Key: ownerKey, Target: kv.TargetMod, Result: kv.ResultEqual, ModRevision: a.Revision},
		},
		Success: []kv.Op{
			{Put: &kv.PutRequest{Key: leaseKey, Value: value, Lease: a.Lease}},
			{Put: &kv.PutRequest{Key: ownerKey, Value: value}},
		},
		Failure: []kv.Op{{Range: &kv.RangeRequest{Key: leaseKey}}},
	}
}

// Release gives the transaction that deletes a pool's lease key if it still is as it was read at a revision.
func Release(keys Keys, revision int64) kv.TxnRequest {
	key := []byte(keys.Lease)
	return kv.TxnRequest{
		Compare: []kv.Compare{{Key: key, Target: kv.TargetMod, Result: kv.ResultEqual, ModRevision: revision}},
		Success: []kv.Op{{Delete: &kv.DeleteRequest{Key: key}}},
	}
}

// Settle gives the transaction that stores an owner without its former ones, if the key is as it was read at a revision.
func Settle(keys Keys, revision int64, owner lease.StoredOwner) kv.TxnRequest {
	key := []byte(keys.Owner)
	return kv.TxnRequest{
		Compare: []kv.Compare{{Key: key, Target: kv.TargetMod, Result: kv.ResultEqual, ModRevision: revision}},
		Success: []kv.Op{{Put: &kv.PutRequest{Key: key, Value: encode(owner.Settled())}}},
	}
}

func encode(owner lease.StoredOwner) []byte {
	value, _ := json.Marshal(owner) // Names and numbers always have a JSON form.
	return value
}
