// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package access decides which operator a key belongs to and what it may do.
package access
