// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package retry keeps the budget of repeated sends. Each instance keeps its own part of one
// budget for the whole fleet, so that the sum holds without any message between instances.
package retry
