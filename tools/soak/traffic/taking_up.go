// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package traffic

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
)

const (
	// maxTries is the greatest number of tries of a stream that its caller takes up.
	maxTries = 4
	// minTimeLeft is the least time to its deadline in which a caller tries again.
	minTimeLeft = 300 * time.Millisecond
)

// errDropped ends the answer of a caller that loses its connection.
var errDropped = errors.New("the caller lost its connection")

// takesUp reports whether the caller takes the request up if its connection breaks.
func (c *Caller) takesUp(q *request) bool {
	return q.lasting || c.options.TakeUp > 0 && strings.HasPrefix(q.path, platformstandin.ResumePrefix)
}

// followStream sends the request of a stream, and takes the stream up at any instance until it is whole, each try with a new ID.
func (c *Caller) followStream(ctx context.Context, q *request) {
	q.firstTry, q.path = q.id, q.path+"&"+platformstandin.SignedParameter
	if q.events > 1 && !q.lasting && c.random.Float64() < c.options.TakeUp {
		q.dropAfter = 1 + c.random.IntN(q.events-1)
	}
	if q.lasting {
		// The end of the run is no reason to leave such a stream.
		ctx = context.WithoutCancel(ctx)
	}
	deadline := time.Now().Add(q.callTimeout)
	for tries := 0; tries < maxTries; {
		attempt, wait := c.sendRequest(q, false)
		c.options.Record(attempt)
		if q.lasting && attempt.Status == 0 {
			// The instance is down: the caller comes back a little later, and keeps its tries for answers.
			wait = time.Duration(c.random.Float64() * float64(maxShortPause))
		} else {
			tries++
		}
		if !q.advance(&attempt) || time.Until(deadline) < wait+minTimeLeft || !c.pause(ctx, wait) {
			return
		}
		q.id = nextID()
		q.callTimeout = time.Until(deadline)
		// Another connection leads to any instance.
		c.closeConnection()
	}
}

// nextID returns a new request ID.
func nextID() string {
	return fmt.Sprintf("s-%d", requestCounter.Add(1))
}

// advance sets where the next try of a stream goes on. It reports whether there is one.
func (q *request) advance(a *ledger.Attempt) bool {
	if a.Events > 0 && q.resumes == "" {
		q.resumes = a.ID
	}
	q.lastEvent += a.Events
	if a.Events > 0 {
		q.dropAfter = 0
	}
	if q.lastEvent >= q.events {
		return false
	}
	switch a.Outcome {
	case ledger.Closed, ledger.Refused, ledger.Unreached:
		return true
	case ledger.Failed:
		return a.Status >= http.StatusInternalServerError
	case ledger.Abandoned:
		return a.PlannedClose
	}
	return false
}

// readBody reads the body of an answer. It returns errDropped after the event after which the caller loses its connection.
func (q *request) readBody(body io.Reader) (string, error) {
	if q.dropAfter == 0 {
		all, err := io.ReadAll(body)
		return string(all), err
	}
	reader := bufio.NewReader(body)
	var text strings.Builder
	for events := 0; events < q.dropAfter; {
		line, err := reader.ReadString('\n')
		text.WriteString(line)
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		if line == "\n" {
			events++
		}
	}
	return text.String(), errDropped
}

// takeMakers records which software versions made the events of a successful answer, and returns its body without their comments.
func (q *request) takeMakers(a *ledger.Attempt, body string) string {
	if q.firstTry == "" {
		return body
	}
	for _, maker := range platformstandin.Makers(body) {
		a.Events++
		if !slices.Contains(a.Software, maker.Software) {
			a.Software = append(a.Software, maker.Software)
		}
	}
	return platformstandin.WithoutMakers(body)
}
