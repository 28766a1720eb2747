// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package engine speaks to endpoints: orders, lists, requests, resume and cancel. A Dialect is a set of functions, so
// that another engine's protocol is one new file; the only one so far is vLLM's published form with fences as headers.
//
// A Dialect owns nothing but its transport's connections, which count what was written, so that "not run" can be told
// for sure. It starts no goroutines.
package engine
