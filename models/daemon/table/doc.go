// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package table holds the rows that queries give, with typed values.
//
// A Table is its builder's alone. The package relies on nothing of this program and starts no goroutines.
package table
