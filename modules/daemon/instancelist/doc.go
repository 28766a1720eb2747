// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package instancelist reads the platform's lagging list of instances and endpoints.
//
// A Reader owns no state and makes one HTTP call for each reading, on its caller's goroutine.
package instancelist
