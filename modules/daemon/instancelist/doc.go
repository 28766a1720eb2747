// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package instancelist reads the platform's list of instances and endpoints, which may be out of date.
//
// A Reader keeps no state and makes one HTTP call for each Read, on the goroutine of its caller.
package instancelist
