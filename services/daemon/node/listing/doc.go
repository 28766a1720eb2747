// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package listing holds the state of the platform's list of instances and endpoints over
// several reads of the list: since when an instance has been missing, and which endpoints
// are leaving. The list lags, and a later read may return an older state. Instances that have
// been gone for long are dropped.
//
// The package owns the last read list and these times, and uses no other service. It starts no
// goroutines and reads no clock.
package listing
