// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package attempt_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

func TestJudgeFailure(t *testing.T) {
	for name, test := range map[string]struct {
		failure   attempt.Failure
		situation attempt.Situation
		verdict   attempt.Verdict
	}{
		"no connection free":                                {attempt.NoConnectionFree, after(safe), attempt.Verdict{Result: attempt.NotSent, Outcome: directory.Neutral}},
		"no descriptor free":                                {attempt.NoDescriptorFree, after(safe), attempt.Verdict{Result: attempt.NotSent, Outcome: directory.Neutral}},
		"no connection free, caller disconnected":           {attempt.NoConnectionFree, after(safe, callerLeft), attempt.Verdict{Result: attempt.NotSent, Outcome: directory.Neutral}},
		"nothing written":                                   {attempt.NothingWritten, after(safe), attempt.Verdict{Result: attempt.NotSent, Outcome: directory.Broken}},
		"connection refused":                                {attempt.ConnectionRefused, after(safe), attempt.Verdict{Result: attempt.NotSent, Outcome: directory.Unreachable}},
		"connection refused, caller disconnected":           {attempt.ConnectionRefused, after(safe, callerLeft), attempt.Verdict{Result: attempt.NotSent, Outcome: directory.Neutral}},
		"nothing written, caller disconnected":              {attempt.NothingWritten, after(safe, callerLeft), attempt.Verdict{Result: attempt.NotSent, Outcome: directory.Neutral}},
		"nothing written, recalled":                         {attempt.NothingWritten, after(stream, recalled), attempt.Verdict{Result: attempt.NotSent, Outcome: directory.Neutral}},
		"no head":                                           {attempt.NoHead, after(safe), attempt.Verdict{Result: attempt.Uncertain, Outcome: directory.Broken}},
		"no head, caller disconnected":                      {attempt.NoHead, after(safe, callerLeft), attempt.Verdict{Result: attempt.Uncertain, Outcome: directory.Neutral}},
		"no head after a long silence, caller disconnected": {attempt.NoHead, after(stream, callerLeft, silentFor(3*time.Second)), attempt.Verdict{Result: attempt.Uncertain, Outcome: directory.Broken}},
		"no head, body too large":                           {attempt.NoHead, after(safe, bodyTooLarge), attempt.Verdict{Result: attempt.Uncertain, Outcome: directory.Neutral}},
		"no head, recalled":                                 {attempt.NoHead, after(stream, recalled), attempt.Verdict{Result: attempt.Recalled, Outcome: directory.Neutral}},
		"no head of a resumed stream, recalled":             {attempt.NoHead, after(resumable, headForwarded, recalled), attempt.Verdict{Result: attempt.Recalled, Outcome: directory.Neutral}},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.verdict, attempt.JudgeFailure(test.failure, test.situation))
		})
	}
}

func TestJudgeHead(t *testing.T) {
	notRun := attempt.Verdict{Result: attempt.NotRun, Outcome: directory.Refused}
	missing := attempt.Verdict{Result: attempt.NotRun, Outcome: directory.Refused, Missing: true}
	distrusted := attempt.Verdict{Result: attempt.Uncertain, Outcome: directory.Broken}
	notResumed := attempt.Verdict{Result: attempt.Interrupted, Outcome: directory.Errored}
	for name, test := range map[string]struct {
		head     attempt.Head
		handling attempt.Handling
		verdict  attempt.Verdict
	}{
		"not run":                                {attempt.Head{Status: http.StatusServiceUnavailable, NotRun: true}, attempt.Reject, notRun},
		"not run, adapter missing":               {attempt.Head{Status: http.StatusMisdirectedRequest, NotRun: true}, attempt.Reject, missing},
		"not run, resumed stream":                {attempt.Head{Status: http.StatusConflict, NotRun: true, Resumes: true}, attempt.Reject, notRun},
		"an invalid request":                     {attempt.Head{Status: http.StatusBadRequest, NotRun: true}, attempt.ForwardWhole, attempt.Verdict{}},
		"success without mark":                   {attempt.Head{Status: http.StatusOK}, attempt.Reject, distrusted},
		"highest success status without mark":    {attempt.Head{Status: 299}, attempt.Reject, distrusted},
		"lowest other status without mark":       {attempt.Head{Status: http.StatusMultipleChoices}, attempt.ForwardWhole, attempt.Verdict{}},
		"error without mark":                     {attempt.Head{Status: http.StatusInternalServerError}, attempt.ForwardWhole, attempt.Verdict{}},
		"response without stream":                {attempt.Head{Status: http.StatusOK, FromEndpoint: true}, attempt.ForwardWhole, attempt.Verdict{}},
		"response of an unsafe route":            {attempt.Head{Status: http.StatusOK, FromEndpoint: true, Kind: deployment.Unsafe}, attempt.ForwardWhole, attempt.Verdict{}},
		"a stream":                               {attempt.Head{Status: http.StatusOK, FromEndpoint: true, Kind: deployment.Streaming}, attempt.ForwardStream, attempt.Verdict{}},
		"stream with the highest success status": {attempt.Head{Status: 299, FromEndpoint: true, Kind: deployment.Streaming}, attempt.ForwardStream, attempt.Verdict{}},
		"error of a stream":                      {attempt.Head{Status: http.StatusMultipleChoices, FromEndpoint: true, Kind: deployment.Streaming}, attempt.ForwardWhole, attempt.Verdict{}},
		"a resumed stream":                       {attempt.Head{Status: http.StatusOK, FromEndpoint: true, Resumes: true, Kind: deployment.Streaming}, attempt.ResumeStream, attempt.Verdict{}},
		"error of a resumed stream":              {attempt.Head{Status: http.StatusMultipleChoices, FromEndpoint: true, Resumes: true, Kind: deployment.Streaming}, attempt.Reject, notResumed},
		"resumed stream without mark":            {attempt.Head{Status: http.StatusOK, Resumes: true, Kind: deployment.Streaming}, attempt.Reject, distrusted},
	} {
		t.Run(name, func(t *testing.T) {
			handling, verdict := attempt.JudgeHead(test.head)
			assert.Equal(t, test.handling, handling)
			assert.Equal(t, test.verdict, verdict)
		})
	}
}

func TestJudgeWhole(t *testing.T) {
	failed := attempt.Verdict{Result: attempt.ServerError, Outcome: directory.Errored}
	for status, verdict := range map[int]attempt.Verdict{
		http.StatusOK: attempt.Delivered(), http.StatusNotFound: attempt.Delivered(), 499: attempt.Delivered(),
		http.StatusInternalServerError: failed, http.StatusNotImplemented: failed, 599: failed,
	} {
		assert.Equal(t, verdict, attempt.JudgeWhole(status), "%d", status)
	}
}

func TestJudgeBroken(t *testing.T) {
	for name, test := range map[string]struct {
		situation attempt.Situation
		verdict   attempt.Verdict
	}{
		"nothing forwarded":                      {after(safe), attempt.Verdict{Result: attempt.Uncertain, Outcome: directory.Broken}},
		"nothing forwarded, caller disconnected": {after(safe, callerLeft), attempt.Verdict{Result: attempt.Uncertain, Outcome: directory.Neutral}},
		"head forwarded":                         {after(stream, headForwarded), attempt.Verdict{Result: attempt.Interrupted, Outcome: directory.Broken}},
		"head forwarded, caller disconnected":    {after(stream, headForwarded, callerLeft), attempt.Verdict{Result: attempt.Interrupted, Outcome: directory.Neutral}},
		"long silence, caller disconnected":      {after(stream, headForwarded, callerLeft, silentFor(3*time.Second)), attempt.Verdict{Result: attempt.Interrupted, Outcome: directory.Broken}},
		"long silence, recalled":                 {after(stream, headForwarded, recalled, silentFor(3*time.Second)), attempt.Verdict{Result: attempt.Interrupted, Outcome: directory.Neutral}},
		"recalled, nothing forwarded":            {after(stream, recalled), attempt.Verdict{Result: attempt.Recalled, Outcome: directory.Neutral}},
		"recalled, head forwarded":               {after(stream, headForwarded, recalled), attempt.Verdict{Result: attempt.Interrupted, Outcome: directory.Neutral}},
		"deadline has passed":                    {after(safe, contextEnded), attempt.Verdict{Result: attempt.Uncertain, Outcome: directory.Broken}},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.verdict, attempt.JudgeInterrupted(test.situation))
		})
	}
}
