// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package bytebudget bounds what is held in memory at a time, in bytes: who wants to hold something waits until there is
// room, in the order of asking. It starts no goroutines and reads no clock.
package bytebudget
