// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package engine speaks to endpoints: orders, lists, requests, resume and cancel.
// A Dialect is a set of functions, so that another engine's protocol is one new
// file; the only one so far is vLLM's published form with fences as headers.
package engine
