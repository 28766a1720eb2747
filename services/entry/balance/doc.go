// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package balance chooses the endpoint that takes a request, among those that can run it, and the service of a
// route with several.
//
// It owns the order of preference (least requests in flight, own hall first, endpoints that are avoided last) and the
// verdict when there is none. It relies on package directory for what this instance knows of the endpoints. It keeps no
// state, does no I/O and starts no goroutine.
package balance
