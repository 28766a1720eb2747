// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package kv

// The wire types follow etcd v3's JSON form: bytes are base64, 64-bit numbers are strings.

// Pair is a stored key with its value.
type Pair struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Version        int64  `json:"version,string"`
	Lease          int64  `json:"lease,string"`
}

// Header is the part common to all responses.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// RangeRequest requests the key Key, or, if RangeEnd is set, all keys from Key up to but excluding RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,omitempty,string"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header `json:"header"`
	KVs    []Pair `json:"kvs"`
	More   bool   `json:"more"`
	Count  int64  `json:"count,string"`
}

// PutRequest stores a value, bound to a lease if Lease is set.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,omitempty,string"`
}

// DeleteRequest deletes the key Key, or, if RangeEnd is set, all keys from Key up to but excluding RangeEnd.
type DeleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// Compare is a condition of a transaction.
type Compare struct {
	Key            []byte `json:"key"`
	Result         string `json:"result"`
	Target         string `json:"target"`
	ModRevision    int64  `json:"mod_revision,omitempty,string"`
	CreateRevision int64  `json:"create_revision,omitempty,string"`
	Value          []byte `json:"value,omitempty"`
}

// The values of Compare.Target and Compare.Result.
const (
	TargetMod    = "MOD"
	TargetCreate = "CREATE"
	TargetValue  = "VALUE"
	ResultEqual  = "EQUAL"
)

// Op is an operation of a transaction; one of its fields is set.
type Op struct {
	Range  *RangeRequest  `json:"request_range,omitempty"`
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// OpResponse is the response to an Op.
type OpResponse struct {
	Range *RangeResponse `json:"response_range,omitempty"`
}

// TxnRequest runs the operations Success if all conditions hold, else the operations Failure.
type TxnRequest struct {
	Compare []Compare `json:"compare,omitempty"`
	Success []Op      `json:"success,omitempty"`
	Failure []Op      `json:"failure,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded"`
	Responses []OpResponse `json:"responses"`
}

// LeaseGrantRequest requests a lease; TTL is in seconds.
type LeaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
	ID  int64 `json:"ID,omitempty,string"`
}

// LeaseResponse is the response to the calls for leases. A TTL of zero means that the lease does not exist any more.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string"`
	TTL    int64  `json:"TTL,string"`
	Error  string `json:"error,omitempty"`
}

// LeaseRequest is the request to renew or revoke a lease.
type LeaseRequest struct {
	ID int64 `json:"ID,string"`
}

// KeepAliveResponse is the response to a renewal.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchRequest starts a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate holds the keys and the first revision to watch.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,omitempty,string"`
}

// WatchResponse is a message of a watch.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// WatchResult holds the changes of the watched keys.
type WatchResult struct {
	Header   Header       `json:"header"`
	Created  bool         `json:"created"`
	Canceled bool         `json:"canceled"`
	Events   []WatchEvent `json:"events"`
}

// WatchEvent is a change of a key; an empty Type means a put.
type WatchEvent struct {
	Type string `json:"type"`
	KV   Pair   `json:"kv"`
}
