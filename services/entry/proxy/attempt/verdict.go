// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package attempt

import (
	"net/http"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// Verdict is what the end of an attempt says of the request and of its endpoint.
type Verdict struct {
	Result Result
	// Outcome is how the exchange counts for the endpoint's health.
	Outcome directory.Outcome
	// Missing says that the endpoint does not hold the adapter, or not at the demanded version.
	Missing bool
}

// Failure is how an exchange failed before the head of an answer came.
type Failure int

// The failures of exchanges, from package upstream.
const (
	// NoConnectionFree: all connections that are allowed to the endpoint are in use.
	NoConnectionFree Failure = iota
	// NothingWritten: no connection came about, or no byte of the request was written.
	NothingWritten
	// ConnectionRefused: nothing listens at the endpoint's address.
	ConnectionRefused
	// NoHead: some or all of the request was written, and no head of an answer came.
	NoHead
)

// JudgeFailure judges an exchange that ended without the head of an answer.
func JudgeFailure(failure Failure, s Situation) Verdict {
	verdict := Verdict{Result: NotSent, Outcome: blame(s)}
	switch {
	case failure == NoHead:
		verdict.Result = unanswered(s)
	case failure == NoConnectionFree:
		verdict.Outcome = directory.Neutral
	case failure == ConnectionRefused && verdict.Outcome == directory.Broken:
		verdict.Outcome = directory.Unreached
	}
	return verdict
}

// blame is how an exchange that failed counts for its endpoint, which is not blamed where it was ended here or by the caller: the
// request was taken back, the caller left, or sent too large a body. A caller that left after its endpoint's silence is the only one who
// tells of an endpoint that stands still, since no exchange is ended here for silence.
func blame(s Situation) directory.Outcome {
	if s.TakenBack || s.BodyTooLarge || (s.CallerLeft && !WasSilent(s)) {
		return directory.Neutral
	}
	return directory.Broken
}

// unanswered is the result of an exchange of which nothing was passed on, and which may have run.
func unanswered(s Situation) Result {
	if s.TakenBack {
		return TakenBack
	}
	return Uncertain
}

// Head is the head of an endpoint's answer.
type Head struct {
	// Status is the endpoint's own.
	Status int
	// NotRun says that the answer proves that the request did not run and will not; from its header or status.
	NotRun bool
	// FromEndpoint says that it bears the endpoint's own mark; from its header.
	FromEndpoint bool
	// Resumes says that the caller has the head and some events of another endpoint's answer; own record.
	Resumes bool
	// Kind is that of the route; from the settings.
	Kind deployment.RouteKind
}

// Handling is what to do with an answer after its head.
type Handling int

// The ways to handle an answer.
const (
	// Reject: pass nothing on; the verdict stands.
	Reject Handling = iota
	// PassStream: pass the head and the events on as they come.
	PassStream
	// ResumeStream: pass on the events only.
	ResumeStream
	// PassWhole: pass on an answer that is no stream.
	PassWhole
)

// JudgeHead decides what to do with an answer. The verdict is that of rejected ones.
func JudgeHead(head Head) (Handling, Verdict) {
	success := head.Status < http.StatusMultipleChoices
	switch {
	case head.NotRun && head.Status != http.StatusBadRequest:
		// A request that is wrong in itself would get the same answer everywhere: the caller gets it.
		return Reject, Verdict{Result: NotRun, Outcome: directory.Refused, Missing: head.Status == http.StatusMisdirectedRequest}
	case success && !head.FromEndpoint:
		// Something on the way answered in the endpoint's place.
		return Reject, Verdict{Result: Uncertain, Outcome: directory.Broken}
	case head.Resumes && !success:
		return Reject, Verdict{Result: BrokenOff, Outcome: directory.Errored}
	case head.Resumes:
		return ResumeStream, Verdict{}
	case head.Kind == deployment.Streaming && success:
		return PassStream, Verdict{}
	default:
		return PassWhole, Verdict{}
	}
}

// JudgeWhole judges an answer that was read whole before anything was passed on.
func JudgeWhole(status int) Verdict {
	if IsServerError(status) {
		return Verdict{Result: ServerError, Outcome: directory.Errored}
	}
	return Passed()
}

// IsServerError reports whether an answer's status says that its endpoint failed.
func IsServerError(status int) bool {
	return status >= http.StatusInternalServerError
}

// Passed is the verdict on an answer that the caller has whole.
func Passed() Verdict {
	return Verdict{Result: Finished, Outcome: directory.Succeeded}
}

// NotTaken is the verdict on an answer that its caller takes no more.
func NotTaken() Verdict {
	return Verdict{Result: BrokenOff, Outcome: directory.Neutral}
}

// JudgeBroken judges an answer whose body broke off.
func JudgeBroken(s Situation) Verdict {
	if s.HeadPassed {
		return Verdict{Result: BrokenOff, Outcome: blame(s)}
	}
	return Verdict{Result: unanswered(s), Outcome: blame(s)}
}
