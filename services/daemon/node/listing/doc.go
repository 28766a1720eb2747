// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package listing holds what the platform's list of instances and endpoints has shown, as
// far as it matters after the next look: since when an instance is missing, and which
// endpoints are leaving. The list lags, and a later look may show an older state. What has
// been gone for long is forgotten.
//
// It owns the last look and these times, and relies on nothing. It starts no goroutines
// and reads no clock.
package listing
