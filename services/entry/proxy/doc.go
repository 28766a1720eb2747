// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package proxy serves callers' requests: it finds the route, asks for an endpoint, forwards
// the request, passes the answer on, and retries or resumes only what may run again. Whether
// the request may have run decides every answer of its own.
package proxy
