// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package kv

// The wire types follow etcd v3's JSON form: bytes are base64, 64-bit numbers are strings.

// Pair is one stored key with its value.
type Pair struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Version        int64  `json:"version,string"`
	Lease          int64  `json:"lease,string"`
}

// Header is the part that all answers share.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// RangeRequest asks for one key, or for all from Key up to RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,omitempty,string"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header `json:"header"`
	KVs    []Pair `json:"kvs"`
	More   bool   `json:"more"`
	Count  int64  `json:"count,string"`
}

// PutRequest stores a value, bound to a lease if one is named.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,omitempty,string"`
}

// DeleteRequest removes a key, or all from Key up to RangeEnd.
type DeleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// Compare is one condition of a transaction.
type Compare struct {
	Key            []byte `json:"key"`
	Result         string `json:"result"`
	Target         string `json:"target"`
	ModRevision    int64  `json:"mod_revision,omitempty,string"`
	CreateRevision int64  `json:"create_revision,omitempty,string"`
	Value          []byte `json:"value,omitempty"`
}

// The targets and the result of a Compare.
const (
	TargetMod    = "MOD"
	TargetCreate = "CREATE"
	TargetValue  = "VALUE"
	ResultEqual  = "EQUAL"
)

// Op is one step of a transaction.
type Op struct {
	Range  *RangeRequest  `json:"request_range,omitempty"`
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// OpResponse answers an Op.
type OpResponse struct {
	Range *RangeResponse `json:"response_range,omitempty"`
}

// TxnRequest does Success if all conditions hold, and else Failure.
type TxnRequest struct {
	Compare []Compare `json:"compare,omitempty"`
	Success []Op      `json:"success,omitempty"`
	Failure []Op      `json:"failure,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded"`
	Responses []OpResponse `json:"responses"`
}

// LeaseGrantRequest asks for a lease of so many seconds.
type LeaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
	ID  int64 `json:"ID,omitempty,string"`
}

// LeaseResponse answers the calls for leases; a TTL of zero means that the lease is gone.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string"`
	TTL    int64  `json:"TTL,string"`
	Error  string `json:"error,omitempty"`
}

// LeaseRequest names a lease.
type LeaseRequest struct {
	ID int64 `json:"ID,string"`
}

// KeepAliveResponse wraps the answer to a renewal.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchRequest begins a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate says what to watch.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,omitempty,string"`
}

// WatchResponse is one message of a watch.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// WatchResult tells what happened to the watched keys.
type WatchResult struct {
	Header   Header       `json:"header"`
	Created  bool         `json:"created"`
	Canceled bool         `json:"canceled"`
	Events   []WatchEvent `json:"events"`
}

// WatchEvent is one change of a key; an empty type means a put.
type WatchEvent struct {
	Type string `json:"type"`
	KV   Pair   `json:"kv"`
}
