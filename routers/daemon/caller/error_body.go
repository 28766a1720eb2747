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

// errorBody is the OpenAI error object with this system's outcome.
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

// failure is an answer that tells a caller why there is no other.
type failure struct {
	status     int
	kind       string
	code       string
	message    string
	param      string
	outcome    fleet.Outcome
	retryAfter time.Duration
}

func badRequest(code, param, message string) *failure {
	return &failure{status: http.StatusBadRequest, kind: "invalid_request_error", code: code, param: param, message: message, outcome: fleet.OutcomeNotRun}
}

// failureOf turns the relay's errors into an answer.
func failureOf(err error) *failure {
	var notRun relay.ErrNotRun
	if errors.As(err, &notRun) {
		return notRunFailure(notRun)
	}
	var unknown relay.ErrUnknown
	if errors.As(err, &unknown) && unknown.Claimed {
		return &failure{status: http.StatusConflict, kind: "conflict_error", code: string(fleet.ReasonClaimed), message: err.Error(), outcome: fleet.OutcomeUnknown}
	}
	return &failure{status: http.StatusBadGateway, kind: "server_error", code: "unknown", message: err.Error(), outcome: fleet.OutcomeUnknown}
}

func notRunFailure(e relay.ErrNotRun) *failure {
	f := &failure{
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

func (f *failure) body(requestID string) []byte {
	o := errorObject{Message: f.message, Type: f.kind, Code: f.code, Outcome: f.outcome, RequestID: requestID}
	if f.param != "" {
		o.Param = &f.param
	}
	// A struct of strings always has a JSON form.
	data, _ := json.Marshal(errorBody{Error: o})
	return data
}

func (f *failure) write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerOutcome, string(f.outcome))
	if f.retryAfter > 0 {
		seconds := int((f.retryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(f.status)
	// A caller that is gone reads no failure; the same holds for writeEvent.
	_, _ = w.Write(f.body(requestID))
}

// writeEvent tells the failure inside a stream that has begun.
func (f *failure) writeEvent(w http.ResponseWriter, requestID string) {
	_, _ = w.Write([]byte("data: "))
	_, _ = w.Write(f.body(requestID))
	_, _ = w.Write([]byte("\n\n"))
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}
