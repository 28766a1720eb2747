// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package traffic

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
)

// request is what a caller sends.
type request struct {
	id       string
	kind     ledger.RouteKind
	path     string
	adapter  string
	body     string
	events   int
	patience time.Duration
	// padding is how many bytes each event has beside its own, and slow for how long the caller reads nothing after the head.
	padding int
	slow    time.Duration
	// chunked sends the body in chunks.
	chunked bool
	// malformed ends the chunks by something else.
	malformed bool
}

// identifiers numbers the requests of a soak.
var identifiers atomic.Int64

const (
	adapterCount = 24
	// longStream and longPause make a stream that lasts longer than the grace of a stop.
	longStream = 24
	longPause  = 450 * time.Millisecond
	// patience is what most callers wait for, and longPatience what callers of long streams do.
	patience     = 4 * time.Second
	longPatience = 14 * time.Second
	mostBody     = 3000
)

// draw draws a request; added are prefixes of routes that were added while the soak runs.
func draw(random *rand.Rand, added []string) *request {
	q := &request{id: fmt.Sprintf("s-%d", identifiers.Add(1)), patience: patience, chunked: random.IntN(4) == 0}
	q.body = strings.Repeat("x", random.IntN(mostBody))
	switch share := random.IntN(100); {
	case share < 22:
		q.stream(random, ledger.Streaming, platformstandin.StreamPrefix)
	case share < 40:
		q.stream(random, ledger.Resumable, platformstandin.ResumePrefix)
	case share < 42:
		q.stream(random, ledger.Streaming, platformstandin.LongDeadlinePrefix)
		q.events, q.patience = longStream, longPatience
		q.path = fmt.Sprintf("%sx?events=%d&pause_ms=%d", platformstandin.LongDeadlinePrefix, longStream, longPause.Milliseconds())
	case share < 70:
		q.kind, q.path = ledger.Unsafe, platformstandin.UnsafePrefix+work(random)
	case share < 74 && len(added) > 0:
		q.kind, q.path = ledger.Safe, added[random.IntN(len(added))]+"x"
	default:
		q.kind, q.path = ledger.Safe, platformstandin.SafePrefix+work(random)
	}
	return q
}

// work gives the end of a plain request's path, which says how long its endpoint works on it.
func work(random *rand.Rand) string {
	if random.IntN(3) > 0 {
		return "x"
	}
	return fmt.Sprintf("x?work_ms=%d", random.IntN(120))
}

func (q *request) stream(random *rand.Rand, kind ledger.RouteKind, prefix string) {
	q.kind = kind
	q.adapter = fmt.Sprintf("a%d", min(random.IntN(adapterCount), random.IntN(adapterCount)))
	q.events = 4 + random.IntN(30)
	q.path = fmt.Sprintf("%sx?events=%d&pause_ms=%d", prefix, q.events, random.IntN(40))
}

// head gives the bytes of the request's head.
func (q *request) head() string {
	framing := fmt.Sprintf("Content-Length: %d", len(q.body))
	if q.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	return platformstandin.RequestHead{Path: q.path, ID: q.id, Adapter: q.adapter, Deadline: q.patience, Framing: framing}.String()
}

// payload gives the bytes of the body as they are sent.
func (q *request) payload() string {
	if !q.chunked {
		return q.body
	}
	if q.malformed {
		return "no number\r\n"
	}
	if q.body == "" {
		return "0\r\n\r\n"
	}
	half := len(q.body)/2 + 1
	first, second := q.body[:half], q.body[half:]
	text := strconv.FormatInt(int64(len(first)), 16) + "\r\n" + first + "\r\n"
	if second != "" {
		text += strconv.FormatInt(int64(len(second)), 16) + "\r\n" + second + "\r\n"
	}
	return text + "0\r\n\r\n"
}

// twice is the answer of an endpoint that answers twice.
const twice = "twice"

// isTwice reports whether a body is the answer of an endpoint that answers twice, for a stream that may be resumed also after some whole
// events of another endpoint.
func (q *request) isTwice(body, expected string) bool {
	before, ok := strings.CutSuffix(body, twice)
	if !ok || before == "" {
		return ok
	}
	return q.kind == ledger.Resumable && strings.HasPrefix(expected, before) && strings.HasSuffix(before, "\n\n")
}

// wrong says what is wrong with a whole successful answer; empty for nothing.
func (q *request) wrong(seal, id, body string) string {
	if id != q.id {
		return fmt.Sprintf("it answers %q", id)
	}
	endpoint, ok := strings.CutSuffix(seal, "."+q.id)
	if !ok {
		return fmt.Sprintf("its mark is %q", seal)
	}
	expected := fmt.Sprintf("%s answers %s POST %s %q", endpoint, q.id, q.path, q.body)
	if q.events > 0 {
		var all strings.Builder
		for number := 1; number <= q.events; number++ {
			all.WriteString(platformstandin.PaddedEvent(number, q.id, q.adapter, q.padding))
		}
		expected = all.String()
	}
	if body != expected && !q.isTwice(body, expected) {
		return fmt.Sprintf("%d bytes in place of %d", len(body), len(expected))
	}
	return ""
}
