// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package unbegun keeps the requests that were assigned to endpoints and are not known to have begun there (Requests), and by when
// each must have begun: a request may begin on an older version of its adapter only for so long after a newer one was named, and an
// endpoint's own queue may hold it for longer. What is late is taken back: its exchange is ended (Recall).
//
// Requests is plain state of the control goroutine without I/O; the present time is an argument. A Recall is shared with the
// goroutine that serves the request, and safe for concurrent use. No goroutine is started.
package unbegun
