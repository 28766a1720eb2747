// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// readBody reads a request's body, at most until its deadline: without that limit, a caller that stops sending would hold the request
// indefinitely.
func (s *Service) readBody(response *responseWriter, incoming *http.Request, configuration *deployment.Configuration, deadline time.Time) (requestBody, error) {
	if incoming.Body == nil || incoming.Body == http.NoBody {
		return requestBody{}, nil
	}
	response.setReadDeadline(deadline)
	body, err := readBody(incoming, configuration.Limits.MaxBodyBytes)
	if err != nil {
		return requestBody{}, err
	}
	if body.remainder != nil {
		if err := response.takeBody(body.remainder.ended.Load); err != nil {
			return requestBody{}, err
		}
		response.setReadDeadline(deadline.Add(remainderReadMargin))
		return body, nil
	}
	response.setReadDeadline(time.Time{})
	response.bodyEnded = func() bool { return true }
	return body, nil
}

// remainderReadMargin is the time after a request's deadline during which the remainder of its large body may still be read. net/http
// drains the body after the response, and would wait there for a caller that stopped sending. The margin must be long enough for the
// response to be written first.
const remainderReadMargin = 500 * time.Millisecond

// refuseUnreadBody ends a request whose body could not be read; the request has not run.
func (s *Service) refuseUnreadBody(response *responseWriter, incoming *http.Request, route *deployment.Route, arrived time.Time, err error) {
	ending := attempt.EndBodyFailure(attempt.BodyFailure{
		TooLarge: errors.Is(err, errBodyTooLarge), TimedOut: errors.Is(err, os.ErrDeadlineExceeded), CallerLeft: isCallerDisconnect(err),
	})
	if ending.Closing == attempt.Abort {
		s.logAborted(incoming, route, arrived, ending)
		// On this panic, net/http closes the connection.
		panic(http.ErrAbortHandler)
	}
	if ending != attempt.BodyTooLarge {
		// The bytes that follow on the connection belong to the unread body.
		response.writer.Header().Set("Connection", "close")
	}
	s.refuse(response, incoming, route, arrived, ending)
}

// isCallerDisconnect reports whether reading the body failed because the caller closed or lost the connection, and not because of the
// content.
func isCallerDisconnect(err error) bool {
	var network *net.OpError
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}
