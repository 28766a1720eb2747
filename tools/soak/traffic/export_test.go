// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package traffic

import "github.com/shelfledge/shelfledge/tools/soak/ledger"

// Wrong says what is wrong with the body of a whole answer to a stream of some events; empty for nothing.
func Wrong(kind ledger.RouteKind, id string, events int, body string) string {
	q := &request{id: id, kind: kind, events: events}
	return q.wrong("endpoint."+id, id, body)
}
