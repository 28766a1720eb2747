// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package admission decides whether a request that no endpoint can take yet goes on waiting
// or is refused, and when its caller should come back.
//
// It owns the reasons of refusals and the time-outs of waiting. It relies on the verdict of package balance and on the
// planner's forecasts, both as fields of a Situation. It keeps no state, does no I/O and starts no goroutine: the
// coordinator asks it when a request arrives and after each change that may have made room.
package admission
