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

// Options are what the operators' router works with.
type Options struct {
	Access  *access.Service
	Command *command.Service
	Query   *query.Service
	Metrics *metric.Metrics
	// Refresh brings gauges up to date before the metrics page is made.
	Refresh func()
	Ready   func() bool
	Now     func() time.Time
}

// Router serves operators.
type Router struct {
	options Options
}

// New makes a router.
func New(o Options) *Router {
	return &Router{options: o}
}

const (
	// maxBody bounds the body of one request, in bytes: the language's longest text, escaped a little, fits in.
	maxBody = 9 << 20
	// defaultWait is how long a change is waited for until it is in force, where the request names no time; 264 ms are usual
	// (docs/design/0004-data-path.md). maxWait bounds what a request may name. Neither was varied.
	defaultWait = 4 * time.Second
	maxWait     = time.Minute
)

// Routes lists the paths.
func (r *Router) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/operator/v1/run", Handler: r.run},
		{Method: http.MethodGet, Path: "/metrics", Handler: r.metrics},
		{Method: http.MethodGet, Path: "/healthz", Handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }},
		{Method: http.MethodGet, Path: "/readyz", Handler: r.ready},
	}
}

func (r *Router) metrics(w http.ResponseWriter, q *http.Request) {
	r.options.Refresh()
	r.options.Metrics.Handler().ServeHTTP(w, q)
}

func (r *Router) ready(w http.ResponseWriter, _ *http.Request) {
	if !r.options.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (r *Router) run(w http.ResponseWriter, q *http.Request) {
	// Who asks is settled before the body is read.
	who, err := r.check(q, access.RoleRead)
	if err != nil {
		writeError(w, q, err)
		return
	}
	var in RunRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxBody)).Decode(&in); err != nil {
		writeError(w, q, command.ErrInvalidCommand{Reason: "the request could not be read: " + err.Error()})
		return
	}
	statements, err := language.Parse(in.Text)
	if err != nil {
		writeSyntax(w, q, err, in.Text)
		return
	}
	if err := r.allowed(statements, who); err != nil {
		writeError(w, q, err)
		return
	}
	answers, err := r.carryOut(q.Context(), statements, in, who)
	out := RunResponse{Operator: who.Name, Answers: answers}
	if err != nil {
		out.Error = errorOf(err)
	}
	httpx.WriteJsonCtx(q.Context(), w, statusOf(err), out)
}

// check finds who asks, by the key in the Authorization header, and counts the log-in.
func (r *Router) check(q *http.Request, need access.Role) (access.Operator, error) {
	// A header of another form is taken as the key itself, which no key's hash matches.
	key, _ := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
	// The server gives an address and port; any other text would share the failures of the zero address.
	from, _ := netip.ParseAddrPort(q.RemoteAddr)
	who, err := r.options.Access.Authorize(r.options.Now(), from.Addr(), key, need)
	result := "ok"
	if err != nil {
		result = "denied"
	}
	r.options.Metrics.OperatorLogins.WithLabelValues(result).Inc()
	return who, err
}

// allowed looks at the whole text before any of it is done.
func (r *Router) allowed(statements []*language.Statement, who access.Operator) error {
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

// carryOut does the statements in order; changes that follow one another are one batch.
func (r *Router) carryOut(ctx context.Context, statements []*language.Statement, in RunRequest, who access.Operator) ([]Answer, error) {
	var answers []Answer
	batches := 0
	for len(statements) > 0 {
		changes := leadingChanges(statements)
		if len(changes) == 0 {
			a, err := r.ask(ctx, statements[0])
			if err != nil {
				return answers, err
			}
			answers = append(answers, a)
			statements = statements[1:]
			continue
		}
		result, err := r.options.Command.Execute(ctx, batchOf(changes, in, who, batches))
		if err != nil {
			return answers, err
		}
		answers = append(answers, Answer{Change: &result})
		batches++
		statements = statements[len(changes):]
	}
	return answers, nil
}

// leadingChanges gives the changes up to the first statement that is none.
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

func batchOf(changes []*language.Change, in RunRequest, who access.Operator, number int) command.Request {
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

func (r *Router) ask(ctx context.Context, s *language.Statement) (Answer, error) {
	if s.Explain != nil {
		e, err := r.options.Query.Explain(ctx, s.Explain)
		return Answer{Explain: &e, Parts: e.Parts}, err
	}
	result, err := r.options.Query.Show(ctx, s.Show)
	return Answer{Table: &result.Table, Parts: result.Parts}, err
}

func writeSyntax(w http.ResponseWriter, q *http.Request, err error, text string) {
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
	httpx.WriteJsonCtx(q.Context(), w, statusOf(err), RunResponse{Error: errorOf(err)})
}

func errorOf(err error) *Error {
	return &Error{Kind: kindOf(err), Message: err.Error()}
}

func kindOf(err error) ErrorKind {
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
	return KindMeaning
}

func statusOf(err error) int {
	if err == nil {
		return http.StatusOK
	}
	switch kindOf(err) {
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
