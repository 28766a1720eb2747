// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package bounded

import "errors"

// ErrTooLong is returned where more bytes come than are read, and ErrTooSlow where a part has begun and does not end in time.
var (
	ErrTooLong = errors.New("bounded: too many bytes")
	ErrTooSlow = errors.New("bounded: not complete in time")
)
