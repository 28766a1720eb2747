// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package table contains the result type of queries: a table with typed values.
//
// A Table is not safe for concurrent use. The package imports no other package of the program and starts no goroutines.
package table
