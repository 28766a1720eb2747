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

// request is a request of a caller.
type request struct {
	id          string
	kind        ledger.RouteKind
	path        string
	adapter     string
	body        string
	events      int
	callTimeout time.Duration
	// padding is the number of additional bytes of each event. readDelay is how long the caller reads nothing after the head of the answer.
	padding   int
	readDelay time.Duration
	// firstTry is the ID of the first try of a stream that its caller takes up, lastEvent the last event that the caller has, and resumes the
	// ID of the try that brought the first one. dropAfter is after how many events the caller loses its connection, or 0.
	firstTry  string
	lastEvent int
	resumes   string
	dropAfter int
	// lasting reports whether the request is a stream of seconds.
	lasting bool
	// chunked selects chunked transfer encoding.
	chunked bool
	// malformed replaces the chunks with an invalid chunk size.
	malformed bool
}

// requestCounter numbers the requests of a soak.
var requestCounter atomic.Int64

const (
	adapterCount = 24
	// longStream is the number of events of a long stream and longPause the pause between them. Such a stream lasts longer than the grace
	// of a stopping instance.
	longStream = 24
	longPause  = 450 * time.Millisecond
	// callTimeout is the time-out of most requests, and longTimeout that of long streams.
	callTimeout = 4 * time.Second
	longTimeout = 14 * time.Second
	maxBody     = 3000
)

// draw returns a random request. added are the prefixes of routes that were added during the soak.
func draw(random *rand.Rand, added []string) *request {
	q := &request{id: nextID(), callTimeout: callTimeout, chunked: random.IntN(4) == 0}
	q.body = strings.Repeat("x", random.IntN(maxBody))
	switch share := random.IntN(100); {
	case share < 22:
		q.stream(random, ledger.Streaming, platformstandin.StreamPrefix)
	case share < 40:
		q.stream(random, ledger.Resumable, platformstandin.ResumePrefix)
	case share < 42:
		q.stream(random, ledger.Streaming, platformstandin.LongDeadlinePrefix)
		q.events, q.callTimeout = longStream, longTimeout
		q.path = fmt.Sprintf("%sx?events=%d&pause_ms=%d", platformstandin.LongDeadlinePrefix, longStream, longPause.Milliseconds())
	case share < 70:
		q.kind, q.path = ledger.Unsafe, platformstandin.UnsafePrefix+plainPathSuffix(random)
	case share < 74 && len(added) > 0:
		q.kind, q.path = ledger.Safe, added[random.IntN(len(added))]+"x"
	default:
		q.kind, q.path = ledger.Safe, platformstandin.SafePrefix+plainPathSuffix(random)
	}
	return q
}

// plainPathSuffix returns the end of the path of a plain request. In one of three cases it sets how long the endpoint works on the
// request.
func plainPathSuffix(random *rand.Rand) string {
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

// head returns the head of the request as it is sent.
func (q *request) head() string {
	framing := fmt.Sprintf("Content-Length: %d", len(q.body))
	if q.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	return platformstandin.RequestHead{Path: q.path, ID: q.id, Adapter: q.adapter, Deadline: q.callTimeout, Framing: framing, LastEvent: q.lastEvent, Resumes: q.resumes}.String()
}

// payload returns the body of the request as it is sent.
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

// eventEnd ends each event of a stream.
const eventEnd = "\n\n"

// isRepeatedAnswer reports whether a body is that of an endpoint which answers twice. In a resumable stream, whole events of another
// endpoint may precede it.
func (q *request) isRepeatedAnswer(body, expected string) bool {
	before, ok := strings.CutSuffix(body, q.repeatedAnswer())
	if !ok || before == "" {
		return ok
	}
	return q.kind == ledger.Resumable && strings.HasPrefix(expected, before) && strings.HasSuffix(before, eventEnd)
}

// repeatedAnswer returns the body that an endpoint which answers twice sends.
func (q *request) repeatedAnswer() string {
	if q.kind == ledger.Streaming || q.kind == ledger.Resumable {
		return platformstandin.RepeatedEvent
	}
	return platformstandin.RepeatedAnswer
}

// answerDefect describes the error in a whole successful answer. It returns an empty string for a correct answer.
func (q *request) answerDefect(seal, id, body string) string {
	if id != q.id {
		return fmt.Sprintf("it answers %q", id)
	}
	endpoint, ok := strings.CutSuffix(seal, "."+q.id)
	if !ok {
		return fmt.Sprintf("its mark is %q", seal)
	}
	expected := q.expectedBody(endpoint)
	if body != expected && !q.isRepeatedAnswer(body, expected) {
		return fmt.Sprintf("%d bytes in place of %d", len(body), len(expected))
	}
	return ""
}

// expectedBody returns the whole body that an endpoint answers with.
func (q *request) expectedBody(endpoint string) string {
	if q.events == 0 {
		return fmt.Sprintf("%s answers %s POST %s %q", endpoint, q.id, q.path, q.body)
	}
	var all strings.Builder
	for number := q.lastEvent + 1; number <= q.events; number++ {
		all.WriteString(platformstandin.PaddedEvent(number, q.id, q.adapter, q.padding))
	}
	return all.String()
}

// partDefect describes the error in the part that came of a successful answer whose connection broke. It returns an empty string if the
// answer could go on correctly, or ends in the event within which its endpoint broke off.
func (q *request) partDefect(seal, body string) string {
	expected := q.expectedBody(strings.TrimSuffix(seal, "."+q.id))
	if strings.HasPrefix(expected, body) || q.isRepeatedAnswer(body, expected) {
		return ""
	}
	whole := ""
	if end := strings.LastIndex(body, eventEnd); end >= 0 {
		whole = body[:end+len(eventEnd)]
	}
	next := q.lastEvent + 1 + strings.Count(whole, eventEnd)
	if strings.HasPrefix(expected, whole) && strings.HasPrefix(platformstandin.HalfEvent(next), body[len(whole):]) {
		return ""
	}
	return fmt.Sprintf("the %d bytes before it broke are not the first of its %d", len(body), len(expected))
}

// endsBetweenEvents reports whether a body is the begin of the stream of the request up to the end of an event.
func (q *request) endsBetweenEvents(body string) bool {
	return q.events > 0 && strings.HasSuffix(body, eventEnd) && strings.HasPrefix(q.expectedBody(""), body)
}
