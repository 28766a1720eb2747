// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/relay"
)

// Options contains the dependencies and the settings of a Router.
type Options struct {
	Relay   *relay.Service
	Catalog func() *catalog.Catalog
	// Configured reports whether Catalog has been read. Until then requests are refused, since neither adapters nor rules are known.
	Configured func() bool
	Ready      func() bool
	Alive      func() bool
	Classes    []fleet.Class
	Endpoints  []fleet.Endpoint
	Now        func() time.Time

	MaxBodyBytes  int64
	MaxRequests   int64
	BytesPerToken int
	OutputTokens  int
	DefaultWait   time.Duration
	DefaultClass  string
}

// Router serves the requests of callers.
type Router struct {
	options         Options
	plainPrefixes   []string
	openRequests    atomic.Int64
	priorityByClass map[string]int
}

// New returns a router with the given options.
func New(o Options) *Router {
	r := &Router{options: o, priorityByClass: make(map[string]int)}
	seen := make(map[string]bool)
	for _, e := range o.Endpoints {
		if e.Kind == fleet.KindPlain && !seen[e.Prefix] {
			seen[e.Prefix] = true
			r.plainPrefixes = append(r.plainPrefixes, e.Prefix)
		}
	}
	// NotFound uses the first prefix that matches, which must be the longest.
	sort.Slice(r.plainPrefixes, func(i, j int) bool { return len(r.plainPrefixes[i]) > len(r.plainPrefixes[j]) })
	for _, c := range o.Classes {
		r.priorityByClass[c.Name] = c.Priority
	}
	return r
}

// Routes returns the routes with fixed paths.
func (r *Router) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: r.handleCompletion},
		{Method: http.MethodPost, Path: "/v1/completions", Handler: r.handleCompletion},
		{Method: http.MethodGet, Path: "/v1/models", Handler: r.handleModels},
		{Method: http.MethodGet, Path: "/healthz", Handler: r.handleHealth},
		{Method: http.MethodGet, Path: "/readyz", Handler: r.handleReady},
	}
}

// NotFound returns the handler for all other paths. It forwards requests to plain services by their path prefix and responds with
// status 404 to any other path.
func (r *Router) NotFound() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		for _, prefix := range r.plainPrefixes {
			if strings.HasPrefix(q.URL.Path, prefix) {
				r.handlePlain(w, q, prefix)
				return
			}
		}
		f := badRequest("no_such_path", "", "no such path: "+q.URL.Path)
		f.status = http.StatusNotFound
		f.write(w, "")
	})
}

// retryAfterNoConfiguration is the retry delay that callers get from an instance that has not read the configuration yet. A longer one
// spares the instance, a shorter one serves sooner.
const retryAfterNoConfiguration = 2 * time.Second

// requireConfiguration reports whether the configuration is known. Otherwise it writes the error response.
func (r *Router) requireConfiguration(w http.ResponseWriter) bool {
	if r.options.Configured() {
		return true
	}
	(&errorResponse{
		status: http.StatusServiceUnavailable, kind: "server_error", code: "no_configuration", message: "this instance has not read the configuration yet",
		outcome: fleet.OutcomeNotRun, retryAfter: retryAfterNoConfiguration,
	}).write(w, "")
	return false
}

// admit counts a new open request and reports whether the configuration is known and the limit of this instance allows the request.
// Otherwise it writes the error response.
func (r *Router) admit(w http.ResponseWriter) bool {
	if !r.requireConfiguration(w) {
		return false
	}
	if r.openRequests.Add(1) <= r.options.MaxRequests {
		return true
	}
	r.openRequests.Add(-1)
	(&errorResponse{
		status: http.StatusTooManyRequests, kind: "rate_limit_error", code: "instance_full", message: "this instance has as many open requests as it may have",
		outcome: fleet.OutcomeNotRun, retryAfter: time.Second,
	}).write(w, "")
	return false
}

func (r *Router) handleCompletion(w http.ResponseWriter, q *http.Request) {
	if !r.admit(w) {
		return
	}
	defer r.openRequests.Add(-1)
	body, failed := r.readBody(w, q)
	if failed != nil {
		failed.write(w, q.Header.Get(headerRequestID))
		return
	}
	p, failed := r.parse(q, body)
	if failed != nil {
		failed.write(w, q.Header.Get(headerRequestID))
		return
	}
	target, err := r.options.Catalog().Resolve(p.fields.Model, p.shareDraw())
	if err != nil {
		f := badRequest("model_not_found", "model", err.Error())
		f.status = http.StatusNotFound
		f.write(w, p.callerID)
		return
	}
	r.runCompletion(w, q, p, target)
}

func (r *Router) runCompletion(w http.ResponseWriter, q *http.Request, p *parsedRequest, target catalog.Target) {
	fleetRequest := r.fleetRequest(p, target, r.options.Now())
	body, err := p.endpointBody(target.Ref, r.priorityByClass[fleetRequest.Class])
	if err != nil {
		badRequest("malformed_json", "", err.Error()).write(w, p.callerID)
		return
	}
	job := relay.Job{
		Request: fleetRequest, ClaimID: p.callerID, Method: http.MethodPost, Path: q.URL.Path, Body: body, Stream: p.fields.Stream,
		Headers: func(h http.Header, t fleet.Ticket) { setResultHeaders(h, fleetRequest, t) },
	}
	r.relayJob(w, q, job)
}

// setResultHeaders sets the response headers that report the adapter version, the endpoint and the waiting times of the request.
func setResultHeaders(h http.Header, request fleet.Request, t fleet.Ticket) {
	h.Set(headerRequestID, request.ID)
	if !request.Adapter.IsZero() {
		h.Set(headerModel, request.Adapter.String())
	}
	h.Set(headerEndpoint, t.Endpoint)
	h.Set(headerQueued, strconv.FormatInt(t.Queued.Milliseconds(), 10))
	h.Set(headerStalled, strconv.FormatInt(t.Stalled.Milliseconds(), 10))
	h.Set(headerOutcome, string(fleet.OutcomeAnswered))
}

func (r *Router) relayJob(w http.ResponseWriter, q *http.Request, job relay.Job) {
	tracked := &trackedWriter{ResponseWriter: w}
	job.CanEndByClose = q.ProtoMajor == 1
	err := r.options.Relay.Serve(q.Context(), tracked, job)
	if err == nil {
		return
	}
	f := errorResponseFor(err)
	switch {
	case q.Context().Err() != nil:
		// The caller has left, or closed its own direction only and still reads: it must not get a response that looks complete.
		panic(http.ErrAbortHandler)
	case !tracked.started:
		f.write(w, job.Request.ID)
	case job.Stream:
		f.writeEvent(w, job.Request.ID)
	default:
		// The connection is aborted, so that the caller does not take a truncated response for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// trackedWriter is a http.ResponseWriter that records whether the response has started.
type trackedWriter struct {
	http.ResponseWriter
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (w *trackedWriter) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *trackedWriter) Write(p []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher. Errors are ignored, since the next write reports them.
func (w *trackedWriter) Flush() {
	_ = w.FlushError()
}

// FlushError is Flush for http.ResponseController.
func (w *trackedWriter) FlushError() error {
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *trackedWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// handlePlain forwards a request to the plain service with the given path prefix.
func (r *Router) handlePlain(w http.ResponseWriter, q *http.Request, prefix string) {
	if !r.admit(w) {
		return
	}
	defer r.openRequests.Add(-1)
	body, failed := r.readBody(w, q)
	if failed != nil {
		failed.write(w, q.Header.Get(headerRequestID))
		return
	}
	p := &parsedRequest{body: body}
	if failed := p.setIdentity(q); failed != nil {
		failed.write(w, q.Header.Get(headerRequestID))
		return
	}
	// A request with an unsafe method is not retried unless the caller allows it with "X-Once: false".
	if !isSafeMethod(q) {
		p.metadata.Once = p.metadata.Once || q.Header.Get(headerOnce) == ""
	}
	fleetRequest := r.fleetRequest(p, catalog.Target{Base: fleet.PlainBase(prefix)}, r.options.Now())
	job := relay.Job{
		Request: fleetRequest, ClaimID: p.callerID, Method: q.Method, Path: q.URL.RequestURI(), Body: body, Header: forwardedHeaders(q.Header), Plain: true,
		Headers: func(h http.Header, t fleet.Ticket) { setResultHeaders(h, fleetRequest, t) },
	}
	if job.Request.Once && job.ClaimID == "" {
		// Without an identifier, a repeated request cannot be recognized. The request gets a single attempt and no claim.
		job.Request.Once = false
		job.SingleAttempt = true
	}
	r.relayJob(w, q, job)
}

// isSafeMethod reports whether the method of the request does not modify anything.
func isSafeMethod(q *http.Request) bool {
	return q.Method == http.MethodGet || q.Method == http.MethodHead || q.Method == http.MethodOptions
}

// forwardedHeaders returns the headers that are forwarded to a plain service. Hop-by-hop headers and the X- headers of callers are not
// forwarded.
func forwardedHeaders(in http.Header) http.Header {
	out := make(http.Header)
	for _, name := range []string{"Accept", "Accept-Language", "Authorization", "Content-Type", "Cookie", "User-Agent"} {
		if values := in.Values(name); len(values) > 0 {
			out[name] = values
		}
	}
	return out
}

// modelEntry is an entry of the list at /v1/models.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	Parent  string `json:"parent,omitempty"`
}

type modelsBody struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func (r *Router) handleModels(w http.ResponseWriter, q *http.Request) {
	if !r.requireConfiguration(w) {
		return
	}
	c := r.options.Catalog()
	body := modelsBody{Object: "list", Data: make([]modelEntry, 0, len(c.Adapters)+len(c.Services))}
	for name, a := range c.Adapters {
		if a.Live > 0 {
			body.Data = append(body.Data, modelEntry{ID: name, Object: "model", OwnedBy: "adapter", Parent: a.Base})
		}
	}
	for name := range c.Services {
		body.Data = append(body.Data, modelEntry{ID: name, Object: "model", OwnedBy: "service"})
	}
	sort.Slice(body.Data, func(i, j int) bool { return body.Data[i].ID < body.Data[j].ID })
	httpx.WriteJsonCtx(q.Context(), w, http.StatusOK, body)
}

func (r *Router) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if !r.options.Alive() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (r *Router) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !r.options.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
