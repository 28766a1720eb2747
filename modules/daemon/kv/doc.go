// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package kv is a client of the platform's key-value service, in etcd v3's
// HTTP/JSON form. It counts its calls, keeps to its own rate and tells apart what
// was surely not done from what may have been done.
package kv
