// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package messagepack decodes MessagePack that another process wrote, with memory bounded by the length of the encoding and, for what
// its elements take besides, by a constant. The library by itself allocates as many elements as an encoding states, of whatever size their Go type has,
// and skips what it does not know by recursion.
//
// It keeps what it knows of the Go types that it has decoded, decodes one large encoding at a time in the whole process, and starts no goroutine.
package messagepack
