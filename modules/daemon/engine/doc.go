// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package engine is the client of endpoints: it sends orders and callers' requests, reads the status of endpoints, and resumes and cancels
// requests. A Dialect is a set of functions, so that the protocol of another engine needs one new file. The only dialect is vLLM's
// published HTTP API with fences as headers.
//
// A Dialect owns only the connections of its transport. These count the bytes written, which distinguishes a request that was certainly not
// run from a request that may have run. The package starts no goroutines.
package engine
