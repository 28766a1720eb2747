// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package messagepack decodes MessagePack that another process wrote, with memory bounded by the length of the encoding. The library by itself allocates
// as many elements as an encoding states, and skips what it does not know by recursion.
//
// It keeps no state and starts no goroutine.
package messagepack
