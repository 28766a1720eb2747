// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package follow has the rules by which an instance follows the contents of the store: the newest operators' keys (Keys), the
// versions that these keys name and for how long older ones may serve (Versions), the proof that no key is missing (Completeness),
// and which instance reads the store for this one and how long a watch waits there (Situation).
//
// It does no I/O. Its state belongs to the control goroutine; the current time is passed as an argument.
package follow
