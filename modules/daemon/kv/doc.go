// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package kv is a client of the platform's key-value service, which has etcd v3's HTTP/JSON API. The client counts its calls and limits
// their rate. Its errors distinguish calls that certainly had no effect from calls that may have had an effect.
//
// The entry program uses modules/entry/store instead: a set of function fields without a protocol, implemented by an adapter for the
// platform of its users, whose key-value service has a different protocol. A Client owns its connections and counts, and is safe for
// concurrent use. It starts no goroutines; Watch runs on the goroutine of its caller.
package kv
