// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package refusal looks whether the process at an address has ended.
//
// It owns what tells such an end from a connection that was reset: nothing listens at the address any more. It keeps no state and starts no
// goroutine; whoever looks opens and closes the connections.
package refusal
