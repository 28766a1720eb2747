// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package traffic

import "github.com/shelfledge/shelfledge/tools/soak/ledger"

// AnswerDefect describes the error in the body of a whole answer to a stream with the given number of events. It returns an empty string
// for a correct body.
func AnswerDefect(kind ledger.RouteKind, id string, events int, body string) string {
	q := &request{id: id, kind: kind, events: events}
	return q.answerDefect("endpoint."+id, id, body)
}

// PartDefect describes the error in the part that came of a broken stream with the given number of events. It returns an empty string for a
// correct part.
func PartDefect(id string, events int, body string) string {
	q := &request{id: id, kind: ledger.Streaming, events: events}
	return q.partDefect("endpoint."+id, body)
}
