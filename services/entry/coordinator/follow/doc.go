// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package follow has the rules by which an instance follows what the store holds: which of the operators' keys is
// the newest (Keys), which versions they name and for how long older ones still serve (Versions), who reads the store
// for this instance and for how long a watch waits there. It is plain state of the control goroutine without I/O; the
// present time is an argument.
package follow
