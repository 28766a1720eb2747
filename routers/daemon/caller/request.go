// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// The request and response headers that extend the OpenAI API.
const (
	headerRequestID = "X-Request-Id"
	headerCaller    = "X-Caller"
	headerClass     = "X-Class"
	headerDeadline  = "X-Deadline-Ms"
	headerOnce      = "X-Once"
	headerOutcome   = "X-Outcome"
	headerModel     = "X-Model"
	headerEndpoint  = "X-Endpoint"
	headerQueued    = "X-Queued-Ms"
	headerStalled   = "X-Stalled-Ms"
)

const (
	// maxIDLength limits the length of the identifiers that callers send, in bytes, since they are used as keys of the key-value service
	// and as metric labels.
	maxIDLength = 128
	// promptPrefixBytes is the length of the beginning of a prompt by which earlier requests with the same prompt prefix are recognized.
	promptPrefixBytes = 512
	// anonymousCaller is the caller of requests that specify no caller.
	anonymousCaller = "anonymous"
)

// requestMetadata contains the options of a request that a caller sends in headers or in the metadata field of the body.
type requestMetadata struct {
	RequestID  string `json:"request_id"`
	Caller     string `json:"caller"`
	Class      string `json:"class"`
	DeadlineMS int64  `json:"deadline_ms"`
	Once       bool   `json:"once"`
}

// requestFields contains the fields of the body that the router evaluates.
type requestFields struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	User                string          `json:"user"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
	Metadata            json.RawMessage `json:"metadata"`
}

// parsedRequest is a decoded request whose model is not yet resolved.
type parsedRequest struct {
	fields requestFields
	// rawFields contains all fields of the body, so that unknown fields reach the endpoint.
	rawFields map[string]json.RawMessage
	body      []byte
	metadata  requestMetadata
	// callerID is the identifier that the caller sent, or empty; requestID is unique.
	callerID  string
	requestID string
}

func (r *Router) readBody(w http.ResponseWriter, q *http.Request) ([]byte, *errorResponse) {
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, r.options.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		f := badRequest("body_too_large", "", "the body is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
		f.status = http.StatusRequestEntityTooLarge
		return nil, f
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		f := badRequest("body_too_slow", "", "the body was not complete in time")
		f.status, f.kind = http.StatusRequestTimeout, "timeout_error"
		return nil, f
	}
	if err != nil {
		return nil, badRequest("body_not_read", "", "the body could not be read: "+err.Error())
	}
	return body, nil
}

func (r *Router) parse(q *http.Request, body []byte) (*parsedRequest, *errorResponse) {
	p := &parsedRequest{body: body}
	if err := json.Unmarshal(body, &p.rawFields); err != nil {
		return nil, badRequest("malformed_json", "", "the body is not a JSON object: "+err.Error())
	}
	if err := json.Unmarshal(body, &p.fields); err != nil {
		return nil, badRequest("malformed_field", "", err.Error())
	}
	if p.fields.Model == "" {
		return nil, badRequest("missing_model", "model", "model must name an adapter, adapter@version or service")
	}
	if len(p.fields.Metadata) > 0 {
		// The error is ignored: metadata of any other form is not evaluated and is forwarded unchanged.
		_ = json.Unmarshal(p.fields.Metadata, &p.metadata)
	}
	return p, p.setIdentity(q)
}

// setIdentity sets the caller, the identifiers and the other options of the request from its headers, its metadata or the user field,
// and validates them.
func (p *parsedRequest) setIdentity(q *http.Request) *errorResponse {
	headers, failed := readHeaders(q)
	if failed != nil {
		return failed
	}
	p.metadata = headers.withFallback(p.metadata)
	if p.metadata.Caller == "" {
		p.metadata.Caller = p.fields.User
	}
	if p.metadata.Caller == "" {
		p.metadata.Caller = anonymousCaller
	}
	if !validID(p.metadata.RequestID) || !validID(p.metadata.Caller) || !validID(p.metadata.Class) {
		return badRequest("bad_identifier", "", "identifiers have up to 128 printable characters without spaces")
	}
	if p.metadata.Once && p.metadata.RequestID == "" {
		return badRequest("missing_request_id", headerRequestID, "a request that must not be repeated needs an identifier of its caller's")
	}
	p.callerID = p.metadata.RequestID
	p.requestID = newRequestID(p.callerID)
	return nil
}

// newRequestID returns a unique request identifier that starts with the caller's identifier, since callers may use an identifier twice.
func newRequestID(callerID string) string {
	id := uuid.NewString()
	if callerID == "" {
		return id
	}
	return callerID + "~" + id[:8]
}

func readHeaders(q *http.Request) (requestMetadata, *errorResponse) {
	m := requestMetadata{RequestID: q.Header.Get(headerRequestID), Caller: q.Header.Get(headerCaller), Class: q.Header.Get(headerClass)}
	if text := q.Header.Get(headerDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			return m, badRequest("bad_deadline", headerDeadline, "the deadline is a number of milliseconds, 0 or more")
		}
		m.DeadlineMS = ms
	}
	switch q.Header.Get(headerOnce) {
	case "", "false":
	case "true":
		m.Once = true
	default:
		return m, badRequest("bad_once", headerOnce, "true or false")
	}
	return m, nil
}

// withFallback returns m with the unset fields taken from fallback.
func (m requestMetadata) withFallback(fallback requestMetadata) requestMetadata {
	if m.RequestID == "" {
		m.RequestID = fallback.RequestID
	}
	if m.Caller == "" {
		m.Caller = fallback.Caller
	}
	if m.Class == "" {
		m.Class = fallback.Class
	}
	if m.DeadlineMS == 0 {
		m.DeadlineMS = max(0, fallback.DeadlineMS)
	}
	m.Once = m.Once || fallback.Once
	return m
}

// validID reports whether an identifier is not too long and consists of printable ASCII characters without spaces. An empty identifier
// is valid.
func validID(text string) bool {
	if len(text) > maxIDLength {
		return false
	}
	return strings.IndexFunc(text, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}

// fleetRequest returns the properties of the request that placement uses. The prompt tokens are estimated from the size of the body.
func (r *Router) fleetRequest(p *parsedRequest, t catalog.Target, now time.Time) fleet.Request {
	class := p.metadata.Class
	if class == "" {
		class = r.options.DefaultClass
	}
	q := fleet.Request{
		ID: p.requestID, Caller: p.metadata.Caller, Class: class, Base: t.Base, Adapter: t.Ref, Once: p.metadata.Once, Arrived: now,
		PromptTokens: len(p.body) / r.options.BytesPerToken, OutputTokens: p.outputTokens(r.options.OutputTokens), Prefix: p.promptPrefixHash(),
	}
	wait := r.options.DefaultWait
	if p.metadata.DeadlineMS > 0 {
		wait = time.Duration(p.metadata.DeadlineMS) * time.Millisecond
	}
	q.Deadline = now.Add(wait)
	return q
}

// outputTokens returns the limit of output tokens in the body, or defaultTokens if there is none.
func (p *parsedRequest) outputTokens(defaultTokens int) int {
	for _, n := range []int{p.fields.MaxCompletionTokens, p.fields.MaxTokens} {
		if n > 0 {
			return n
		}
	}
	return defaultTokens
}

// promptPrefixHash returns a hash of the beginning of the prompt, or zero if the prompt is shorter than promptPrefixBytes. Placement
// prefers the endpoint that ran a prompt with the same beginning before.
func (p *parsedRequest) promptPrefixHash() uint64 {
	text := []byte(p.fields.Messages)
	if len(text) == 0 {
		text = p.fields.Prompt
	}
	if len(text) < promptPrefixBytes {
		return 0
	}
	return xxhash.Sum64(text[:promptPrefixBytes])
}

// shareDraw returns the number from 0 to 99 that selects one of a service's shares. It is the same for every attempt that has the same
// caller identifier.
func (p *parsedRequest) shareDraw() int {
	id := p.callerID
	if id == "" {
		id = p.requestID
	}
	return int(xxhash.Sum64String(id) % catalog.TotalPercent)
}

// endpointBody returns the body for the endpoint, with the model replaced by adapter@version and the priority set.
func (p *parsedRequest) endpointBody(ref fleet.AdapterRef, priority int) ([]byte, error) {
	model, err := json.Marshal(ref.String())
	if err != nil {
		return nil, err
	}
	p.rawFields["model"] = model
	// vLLM runs requests with a lower priority number first.
	p.rawFields["priority"] = json.RawMessage(strconv.Itoa(-priority))
	return json.Marshal(p.rawFields)
}
