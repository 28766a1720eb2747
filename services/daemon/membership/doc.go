// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package membership keeps an instance's picture of the instances of its hall:
// who is known, who is alive, who is leaving and what each of them holds.
package membership
