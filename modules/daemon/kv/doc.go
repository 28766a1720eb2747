// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package kv is a client of the platform's key-value service, in etcd v3's HTTP/JSON form. It counts its calls, keeps
// to its own rate and tells apart what was surely not done from what may have been done.
//
// The entry program has modules/entry/store in its place: that is a set of function fields without a protocol, which an
// adapter of its users' platform fills, and the two services' protocols differ. A Client owns its connections and
// counts, is safe for concurrent use and starts no goroutines; Watch runs on its caller's.
package kv
