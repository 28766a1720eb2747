// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package connect opens connections to endpoints, over this instance's own links or through another instance.
//
// Package reach decides which way is tried first; the other one is tried as well if the first one fails or takes long, and the first
// connection wins. A tunnel, and an own link that has failed before, is used only once the endpoint has answered a probe over it. After a
// failure, goroutines check the link and those to a few other endpoints; while this instance counts as cut off from all endpoints, a goroutine
// tries the own links until one of them works. The package owns the state of the links and the choice of the other instance. Package tunnel
// provides the connections through it.
package connect
