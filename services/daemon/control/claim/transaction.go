// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package claim

import (
	"encoding/json"

	"github.com/shelfledge/shelfledge/modules/daemon/kv"
	"github.com/shelfledge/shelfledge/services/daemon/node/lease"
)

// Keys are a pool's two keys in the key-value service. Other versions of the program read them, so they must not change.
type Keys struct {
	// Lease is the key that exists while an instance owns the pool. It is deleted when that instance's lease lapses.
	Lease string
	// Owner is the key of the last owner. It remains after the lease has lapsed.
	Owner string
}

// KeysOf returns the keys of a pool below the configured prefix.
func KeysOf(prefix, pool string) Keys {
	return Keys{Lease: prefix + "/lease/" + pool, Owner: prefix + "/owner/" + pool}
}

// Attempt holds the parameters of an attempt to acquire a pool.
type Attempt struct {
	Keys Keys
	// Lease is the identifier of the caller's lease at the service.
	Lease int64
	// Revision is the revision of the last owner's key when it was read; 0 if the key did not exist.
	Revision int64
	// Owner is the owner to store as the last owner.
	Owner lease.StoredOwner
}

// Acquire returns the transaction that acquires a pool. It succeeds only if the lease key does not exist and the owner has
// not been written since it was read. Otherwise the answer contains the lease key, which Holds evaluates.
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

// Release returns the transaction that deletes a pool's lease key, if the key is unchanged since the given revision.
func Release(keys Keys, revision int64) kv.TxnRequest {
	key := []byte(keys.Lease)
	return kv.TxnRequest{
		Compare: []kv.Compare{{Key: key, Target: kv.TargetMod, Result: kv.ResultEqual, ModRevision: revision}},
		Success: []kv.Op{{Delete: &kv.DeleteRequest{Key: key}}},
	}
}

// Settle returns the transaction that stores an owner without its former owners, if the owner's key is unchanged since the
// given revision.
func Settle(keys Keys, revision int64, owner lease.StoredOwner) kv.TxnRequest {
	key := []byte(keys.Owner)
	return kv.TxnRequest{
		Compare: []kv.Compare{{Key: key, Target: kv.TargetMod, Result: kv.ResultEqual, ModRevision: revision}},
		Success: []kv.Op{{Put: &kv.PutRequest{Key: key, Value: encode(owner.Settled())}}},
	}
}

func encode(owner lease.StoredOwner) []byte {
	value, _ := json.Marshal(owner) // Strings and numbers can always be encoded.
	return value
}
