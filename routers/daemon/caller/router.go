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

// Options are what the callers' router works with.
type Options struct {
	Relay     *relay.Service
	Catalog   func() *catalog.Catalog
	Ready     func() bool
	Alive     func() bool
	Classes   []fleet.Class
	Endpoints []fleet.Endpoint
	Now       func() time.Time

	MaxBodyBytes  int64
	MaxRequests   int64
	BytesPerToken int
	OutputTokens  int
	DefaultWait   time.Duration
	DefaultClass  string
}

// Router serves callers.
type Router struct {
	options  Options
	prefixes []string
	open     atomic.Int64
	priority map[string]int
}

// New makes a router.
func New(o Options) *Router {
	r := &Router{options: o, priority: make(map[string]int)}
	seen := make(map[string]bool)
	for _, e := range o.Endpoints {
		if e.Kind == fleet.KindPlain && !seen[e.Prefix] {
			seen[e.Prefix] = true
			r.prefixes = append(r.prefixes, e.Prefix)
		}
	}
	// The longest prefix goes first.
	sort.Slice(r.prefixes, func(i, j int) bool { return len(r.prefixes[i]) > len(r.prefixes[j]) })
	for _, c := range o.Classes {
		r.priority[c.Name] = c.Priority
	}
	return r
}

// Routes lists the fixed paths.
func (r *Router) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: r.complete},
		{Method: http.MethodPost, Path: "/v1/completions", Handler: r.complete},
		{Method: http.MethodGet, Path: "/v1/models", Handler: r.models},
		{Method: http.MethodGet, Path: "/healthz", Handler: r.health},
		{Method: http.MethodGet, Path: "/readyz", Handler: r.ready},
	}
}

// NotFound serves the plain services' prefixes, and tells of everything else that it is not there.
func (r *Router) NotFound() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		for _, prefix := range r.prefixes {
			if strings.HasPrefix(q.URL.Path, prefix) {
				r.plain(w, q, prefix)
				return
			}
		}
		f := badRequest("no_such_path", "", "no such path: "+q.URL.Path)
		f.status = http.StatusNotFound
		f.write(w, "")
	})
}

// admit bounds the requests that are open at this instance at once.
func (r *Router) admit(w http.ResponseWriter) bool {
	if r.open.Add(1) <= r.options.MaxRequests {
		return true
	}
	r.open.Add(-1)
	(&failure{
		status: http.StatusTooManyRequests, kind: "rate_limit_error", code: "instance_full", message: "this instance has as many open requests as it may have",
		outcome: fleet.OutcomeNotRun, retryAfter: time.Second,
	}).write(w, "")
	return false
}

func (r *Router) complete(w http.ResponseWriter, q *http.Request) {
	if !r.admit(w) {
		return
	}
	defer r.open.Add(-1)
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
	target, err := r.options.Catalog().Resolve(p.fields.Model, p.draw())
	if err != nil {
		f := badRequest("model_not_found", "model", err.Error())
		f.status = http.StatusNotFound
		f.write(w, p.callerID)
		return
	}
	r.run(w, q, p, target)
}

func (r *Router) run(w http.ResponseWriter, q *http.Request, p *parsed, target catalog.Target) {
	request := r.request(p, target, r.options.Now())
	body, err := p.forEndpoint(target.Ref, r.priority[request.Class])
	if err != nil {
		badRequest("malformed_json", "", err.Error()).write(w, p.callerID)
		return
	}
	job := relay.Job{
		Request: request, ClaimID: p.callerID, Method: http.MethodPost, Path: q.URL.Path, Body: body, Stream: p.fields.Stream,
		Headers: func(h http.Header, t fleet.Ticket) { tell(h, request, t) },
	}
	r.serve(w, q, job)
}

// tell names, in the answer's headers, what ran where and what it waited for.
func tell(h http.Header, request fleet.Request, t fleet.Ticket) {
	h.Set(headerRequestID, request.ID)
	if !request.Adapter.IsZero() {
		h.Set(headerModel, request.Adapter.String())
	}
	h.Set(headerEndpoint, t.Endpoint)
	h.Set(headerQueued, strconv.FormatInt(t.Queued.Milliseconds(), 10))
	h.Set(headerStalled, strconv.FormatInt(t.Stalled.Milliseconds(), 10))
	h.Set(headerOutcome, string(fleet.OutcomeAnswered))
}

func (r *Router) serve(w http.ResponseWriter, q *http.Request, job relay.Job) {
	tracked := &trackedWriter{ResponseWriter: w}
	err := r.options.Relay.Serve(q.Context(), tracked, job)
	if err == nil || q.Context().Err() != nil {
		return
	}
	f := failureOf(err)
	if !tracked.started {
		f.write(w, job.Request.ID)
		return
	}
	if job.Stream {
		f.writeEvent(w, job.Request.ID)
		return
	}
	// An answer with a length that ends early must not look whole.
	panic(http.ErrAbortHandler)
}

// trackedWriter knows whether an answer has begun.
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

// Flush implements http.Flusher.
func (w *trackedWriter) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Unwrap lets http.ResponseController reach the connection.
func (w *trackedWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// plain routes a call to a plain service.
func (r *Router) plain(w http.ResponseWriter, q *http.Request, prefix string) {
	if !r.admit(w) {
		return
	}
	defer r.open.Add(-1)
	body, failed := r.readBody(w, q)
	if failed != nil {
		failed.write(w, q.Header.Get(headerRequestID))
		return
	}
	p := &parsed{body: body}
	if failed := p.identify(q); failed != nil {
		failed.write(w, q.Header.Get(headerRequestID))
		return
	}
	// A call that may change something is not repeated unless its caller says that it may be.
	if !repeatable(q) {
		p.meta.Once = p.meta.Once || q.Header.Get(headerOnce) == ""
	}
	request := r.request(p, catalog.Target{Base: fleet.PlainBase(prefix)}, r.options.Now())
	job := relay.Job{
		Request: request, ClaimID: p.callerID, Method: q.Method, Path: q.URL.RequestURI(), Body: body, Header: passedHeaders(q.Header), Plain: true,
		Headers: func(h http.Header, t fleet.Ticket) { tell(h, request, t) },
	}
	if job.Request.Once && job.ClaimID == "" {
		// Without an identifier no repeat can be told from a new call: one attempt, no claim.
		job.Request.Once = false
		job.SingleAttempt = true
	}
	r.serve(w, q, job)
}

func repeatable(q *http.Request) bool {
	return q.Method == http.MethodGet || q.Method == http.MethodHead || q.Method == http.MethodOptions
}

// passedHeaders keeps what a plain service may need, without this system's own and hop-by-hop headers.
func passedHeaders(in http.Header) http.Header {
	out := make(http.Header)
	for _, name := range []string{"Accept", "Accept-Language", "Authorization", "Content-Type", "Cookie", "User-Agent"} {
		if values := in.Values(name); len(values) > 0 {
			out[name] = values
		}
	}
	return out
}

// modelEntry is one line of /v1/models.
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

func (r *Router) models(w http.ResponseWriter, q *http.Request) {
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

func (r *Router) health(w http.ResponseWriter, _ *http.Request) {
	if !r.options.Alive() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (r *Router) ready(w http.ResponseWriter, _ *http.Request) {
	if !r.options.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
