// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import "github.com/shelfledge/shelfledge/modules/bounded"

// linger flushes a response that was written before the end of the caller's body, and reads the rest, so that the caller gets the response.
func (w *responseWriter) linger() {
	if w.bodyEnded() || w.flush() != nil {
		return
	}
	bounded.Linger(w.incoming.Context(), w.incoming.Body, w.setReadDeadline, w.now)
}
