// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package balance chooses the endpoint that takes a request, among those that can run it.
package balance
