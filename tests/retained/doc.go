// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package retained counts what a value keeps, for tests of state that is keyed by names.
//
// It reads values by reflection, keeps no state and starts no goroutines.
package retained
