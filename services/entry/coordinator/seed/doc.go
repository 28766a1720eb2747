// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package seed requests state from the peers that are listed in the settings, the seeds. An instance that the store does not answer
// learns the configuration, the endpoints and the planner that way.
//
// Each request dials, sends one message and closes the connection. The package keeps no state, and no goroutine outlives a call.
package seed
