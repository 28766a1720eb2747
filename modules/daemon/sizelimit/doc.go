// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package sizelimit bounds maps whose keys are named by others, such as callers, by dropping the entries that matter least.
//
// A map that is pruned only by age grows with the rate of new names, and one pass over it stops its goroutine for as long. The package keeps
// no state but the next size at which a map is reduced, and starts no goroutines.
package sizelimit
