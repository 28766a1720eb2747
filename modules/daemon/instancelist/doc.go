// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package instancelist reads the platform's lagging list of instances and endpoints.
package instancelist
