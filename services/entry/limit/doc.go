// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package limit keeps all instances together within the requests a second that an endpoint takes.
//
// Named is a limit as answers named it, bucket counts requests against a rate. Allocator is the planner's: it allocates the requests that each
// limit allows, one by one, to the instances that want to send some. Allowance is an instance's: what it was granted, or its own share
// where no planner allocates any. All are plain state of the control goroutine; the present time is an argument.
package limit
