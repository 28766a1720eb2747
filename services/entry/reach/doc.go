// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package reach decides how this instance connects to an endpoint: over its own links, or through another instance.
//
// An endpoint that refuses or ignores connections may have failed, or only the link between it and this instance. The two look the same
// from here; a connection that succeeds through another instance tells them apart. The package keeps what such connections have shown, and
// derives from it whether this instance reaches no endpoint at all. It has no input or output, starts no goroutine and is not safe for
// concurrent use.
package reach
