// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/relay"
)

// errorBody is the body of an error response: the OpenAI error object with the additional fields outcome and request_id.
type errorBody struct {
	Error errorObject `json:"error"`
}

type errorObject struct {
	Message   string        `json:"message"`
	Type      string        `json:"type"`
	Param     *string       `json:"param"`
	Code      string        `json:"code"`
	Outcome   fleet.Outcome `json:"outcome"`
	RequestID string        `json:"request_id,omitempty"`
}

// errorResponse is a response that reports to a caller why its request failed.
type errorResponse struct {
	status     int
	kind       string
	code       string
	message    string
	param      string
	outcome    fleet.Outcome
	retryAfter time.Duration
}

func badRequest(code, param, message string) *errorResponse {
	return &errorResponse{status: http.StatusBadRequest, kind: "invalid_request_error", code: code, param: param, message: message, outcome: fleet.OutcomeNotRun}
}

// errorResponseFor returns the response for an error of the relay.
func errorResponseFor(err error) *errorResponse {
	var notRun relay.ErrNotRun
	if errors.As(err, &notRun) {
		return notRunResponse(notRun)
	}
	var unknown relay.ErrUnknown
	if errors.As(err, &unknown) && unknown.Claimed {
		return &errorResponse{status: http.StatusConflict, kind: "conflict_error", code: string(fleet.ReasonClaimed), message: err.Error(), outcome: fleet.OutcomeUnknown}
	}
	return &errorResponse{status: http.StatusBadGateway, kind: "server_error", code: "unknown", message: err.Error(), outcome: fleet.OutcomeUnknown}
}

func notRunResponse(e relay.ErrNotRun) *errorResponse {
	f := &errorResponse{
		status: http.StatusServiceUnavailable, kind: "server_error", code: string(e.Reason), message: e.Error(),
		outcome: fleet.OutcomeNotRun, retryAfter: e.RetryAfter,
	}
	switch e.Reason {
	case fleet.ReasonQueueFull, fleet.ReasonCustomerLimit:
		f.status, f.kind = http.StatusTooManyRequests, "rate_limit_error"
	case fleet.ReasonExpired, fleet.ReasonDeadline:
		f.status, f.kind = http.StatusGatewayTimeout, "timeout_error"
	case fleet.ReasonRule:
		f.status, f.kind = http.StatusForbidden, "permission_error"
	}
	return f
}

func (f *errorResponse) body(requestID string) []byte {
	o := errorObject{Message: f.message, Type: f.kind, Code: f.code, Outcome: f.outcome, RequestID: requestID}
	if f.param != "" {
		o.Param = &f.param
	}
	// The error is ignored, since a struct of strings can always be encoded.
	data, _ := json.Marshal(errorBody{Error: o})
	return data
}

func (f *errorResponse) write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerOutcome, string(f.outcome))
	if f.retryAfter > 0 {
		seconds := int((f.retryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(f.status)
	// A write error is ignored, here and in writeEvent: the caller has closed the connection.
	_, _ = w.Write(f.body(requestID))
}

// writeEvent writes the error as a server-sent event of a stream that has started.
func (f *errorResponse) writeEvent(w http.ResponseWriter, requestID string) {
	_, _ = w.Write([]byte("data: "))
	_, _ = w.Write(f.body(requestID))
	_, _ = w.Write([]byte("\n\n"))
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}
