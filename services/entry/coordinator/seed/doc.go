// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package seed asks peers that are named in the settings, the seeds, for what they know, so that an instance that
// the store does not answer learns the configuration, the endpoints and the planner. Each call dials, asks once and
// hangs up; nothing is kept and no goroutine outlives a call.
package seed
