// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/modules/daemon/language"
	"github.com/shelfledge/shelfledge/modules/daemon/metric"
	"github.com/shelfledge/shelfledge/services/daemon/access"
	"github.com/shelfledge/shelfledge/services/daemon/command"
	"github.com/shelfledge/shelfledge/services/daemon/configuration"
	"github.com/shelfledge/shelfledge/services/daemon/query"
)

// Options contains the dependencies of a Router.
type Options struct {
	Access  *access.Service
	Command *command.Service
	Query   *query.Service
	Metrics *metric.Metrics
	// Refresh updates the gauges; it is called before each response with metrics.
	Refresh func()
	Ready   func() bool
	Now     func() time.Time
}

// Router serves the requests of operators.
type Router struct {
	options Options
}

// New returns a router with the given options.
func New(o Options) *Router {
	return &Router{options: o}
}

const (
	// maxBodyBytes limits the body of a request, in bytes. The longest text of the language (8 MiB) fits in, with some characters escaped.
	maxBodyBytes = 9 << 20
	// defaultWait is how long the router waits for a change to be in force if the request specifies no time; 264 ms are usual
	// (docs/design/0004-data-path.md). maxWait limits the time that a request can specify.
	defaultWait = 4 * time.Second
	maxWait     = time.Minute
)

// Routes returns the routes of the router.
func (r *Router) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/operator/v1/run", Handler: r.handleRun},
		{Method: http.MethodGet, Path: "/metrics", Handler: r.handleMetrics},
		{Method: http.MethodGet, Path: "/healthz", Handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }},
		{Method: http.MethodGet, Path: "/readyz", Handler: r.handleReady},
	}
}

func (r *Router) handleMetrics(w http.ResponseWriter, q *http.Request) {
	r.options.Refresh()
	r.options.Metrics.Handler().ServeHTTP(w, q)
}

func (r *Router) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !r.options.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (r *Router) handleRun(w http.ResponseWriter, q *http.Request) {
	// The operator is authenticated before the body is read.
	who, err := r.authenticate(q, access.RoleRead)
	if err != nil {
		writeError(w, q, err)
		return
	}
	var in RunRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxBodyBytes)).Decode(&in); err != nil {
		writeError(w, q, command.ErrInvalidCommand{Reason: "the request could not be read: " + err.Error()})
		return
	}
	statements, err := language.Parse(in.Text)
	if err != nil {
		writeSyntaxError(w, q, err, in.Text)
		return
	}
	if err := r.authorize(statements, who); err != nil {
		writeError(w, q, err)
		return
	}
	answers, err := r.execute(q.Context(), statements, in, who)
	out := RunResponse{Operator: who.Name, Answers: answers}
	if err != nil {
		out.Error = newError(err)
	}
	httpx.WriteJsonCtx(q.Context(), w, statusCode(err), out)
}

// authenticate returns the operator with the key in the Authorization header, who must have at least the role need, and counts the
// login in the metrics.
func (r *Router) authenticate(q *http.Request, need access.Role) (access.Operator, error) {
	// A header without the prefix "Bearer " is checked as the key itself.
	key, _ := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
	// The error is ignored: the HTTP server always sets an address and port. An address that cannot be parsed would count its failed
	// logins for the zero address.
	from, _ := netip.ParseAddrPort(q.RemoteAddr)
	who, err := r.options.Access.Authorize(r.options.Now(), from.Addr(), key, need)
	result := "ok"
	if err != nil {
		result = "denied"
	}
	r.options.Metrics.OperatorLogins.WithLabelValues(result).Inc()
	return who, err
}

// authorize checks the role of the operator for all statements of a text, so that no statement is executed if one is denied.
func (r *Router) authorize(statements []*language.Statement, who access.Operator) error {
	for _, s := range statements {
		need := access.RoleRead
		if s.Change != nil {
			need = access.RoleChange
			if s.Change.Budget != nil || s.Change.Undo != nil || s.Change.Drain != nil && s.Change.Drain.Hall != "" {
				need = access.RoleAdmin
			}
		}
		if who.Role < need {
			return access.ErrDenied{Reason: "operator " + who.Name + " may " + who.Role.String() + ", and this needs " + need.String()}
		}
	}
	return nil
}

// execute executes the statements in order. Consecutive changes form one batch. If a statement fails, execute returns the answers of
// the statements before it with the error.
func (r *Router) execute(ctx context.Context, statements []*language.Statement, in RunRequest, who access.Operator) ([]Answer, error) {
	var answers []Answer
	batches := 0
	for len(statements) > 0 {
		changes := leadingChanges(statements)
		if len(changes) == 0 {
			a, err := r.runQuery(ctx, statements[0])
			if err != nil {
				return answers, err
			}
			answers = append(answers, a)
			statements = statements[1:]
			continue
		}
		result, err := r.options.Command.Execute(ctx, newCommandRequest(changes, in, who, batches))
		if err != nil {
			return answers, err
		}
		answers = append(answers, Answer{Change: &result})
		batches++
		statements = statements[len(changes):]
	}
	return answers, nil
}

// leadingChanges returns the changes before the first statement that is not a change.
func leadingChanges(statements []*language.Statement) []*language.Change {
	var changes []*language.Change
	for _, s := range statements {
		if s.Change == nil {
			break
		}
		changes = append(changes, s.Change)
	}
	return changes
}

// newCommandRequest returns the request for the batch with the given number. All batches of a text after the first one get an
// identifier of their own.
func newCommandRequest(changes []*language.Change, in RunRequest, who access.Operator, number int) command.Request {
	id := in.ID
	if id == "" {
		id = uuid.NewString()
	}
	if number > 0 {
		id += "/" + strconv.Itoa(number)
	}
	wait := defaultWait
	if in.WaitMS > 0 {
		wait = min(maxWait, time.Duration(in.WaitMS)*time.Millisecond)
	}
	return command.Request{ID: id, Operator: who.Name, Text: in.Text, Wait: wait, Changes: changes}
}

func (r *Router) runQuery(ctx context.Context, s *language.Statement) (Answer, error) {
	if s.Explain != nil {
		e, err := r.options.Query.Explain(ctx, s.Explain)
		return Answer{Explain: &e, Parts: e.Parts}, err
	}
	result, err := r.options.Query.Show(ctx, s.Show)
	return Answer{Table: &result.Table, Parts: result.Parts}, err
}

func writeSyntaxError(w http.ResponseWriter, q *http.Request, err error, text string) {
	var syntax language.ErrSyntax
	if !errors.As(err, &syntax) {
		writeError(w, q, err)
		return
	}
	e := &Error{Kind: KindSyntax, Message: syntax.Reason, Line: syntax.Line, Column: syntax.Column, Point: syntax.Point(text)}
	httpx.WriteJsonCtx(q.Context(), w, http.StatusBadRequest, RunResponse{Error: e})
}

func writeError(w http.ResponseWriter, q *http.Request, err error) {
	var many access.ErrTooManyFailures
	if errors.As(err, &many) {
		w.Header().Set("Retry-After", strconv.Itoa(int(many.RetryAfter/time.Second)+1))
	}
	httpx.WriteJsonCtx(q.Context(), w, statusCode(err), RunResponse{Error: newError(err)})
}

func newError(err error) *Error {
	return &Error{Kind: errorKind(err), Message: err.Error()}
}

func errorKind(err error) ErrorKind {
	switch {
	case access.IsErrDenied(err):
		return KindDenied
	case access.IsErrTooManyFailures(err):
		return KindTooMany
	case catalog.IsErrRevisionConflict(err):
		return KindConflict
	case configuration.IsErrOutcomeUnknown(err):
		return KindUnsettled
	case configuration.IsErrUnavailable(err):
		return KindUnavailable
	}
	return KindSemantic
}

func statusCode(err error) int {
	if err == nil {
		return http.StatusOK
	}
	switch errorKind(err) {
	case KindDenied:
		return http.StatusForbidden
	case KindTooMany:
		return http.StatusTooManyRequests
	case KindConflict:
		return http.StatusConflict
	case KindUnsettled, KindUnavailable:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}
