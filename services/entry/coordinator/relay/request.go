// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"time"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
)

// Request decides which instance a planner that lacks newer keys asks for them, one at a time. The zero value has asked none. It is
// not safe for concurrent use.
type Request struct {
	// lackingSince is since when other instances are known to have newer keys; zero if there are none.
	lackingSince time.Time
	asked        string
	askedAt      time.Time
}

// Next returns the instance to ask now, if any, where revision is the newest revision that the planner has. The instance that was
// asked last is skipped if another one can be asked.
func (r *Request) Next(now time.Time, revision int64, sources []member.Source) (string, bool) {
	best, due := r.observe(now, revision, sources)
	if !due {
		return "", false
	}
	r.asked, r.askedAt = best.Instance, now
	return best.Instance, true
}

// Due reports whether an instance has to be asked now. Like Next, it records since when keys are missing, but it does not mark an
// instance as asked.
func (r *Request) Due(now time.Time, revision int64, sources []member.Source) bool {
	_, due := r.observe(now, revision, sources)
	return due
}

// observe records since when keys are missing. It returns the best source and whether it has to be asked now.
func (r *Request) observe(now time.Time, revision int64, sources []member.Source) (member.Source, bool) {
	best, found := r.choose(revision, sources)
	if !found {
		*r = Request{}
		return best, false
	}
	if r.lackingSince.IsZero() {
		r.lackingSince = now
	}
	waited := now.Sub(r.lackingSince) >= member.RelayDelay
	return best, waited && (r.asked == "" || now.Sub(r.askedAt) >= ResendAfter)
}

// choose returns the source with the newest keys. Among equal ones it returns the first by name that was not asked last.
func (r *Request) choose(revision int64, sources []member.Source) (member.Source, bool) {
	var best member.Source
	found := false
	for _, source := range sources {
		if source.Revision <= revision {
			continue
		}
		if !found || r.preferSource(source, best) {
			best, found = source, true
		}
	}
	return best, found
}

// preferSource reports whether source is preferred to other: a source that was not asked last, then
// newer keys, then the name that sorts first.
func (r *Request) preferSource(source, other member.Source) bool {
	switch {
	case (source.Instance == r.asked) != (other.Instance == r.asked):
		return other.Instance == r.asked
	case source.Revision != other.Revision:
		return source.Revision > other.Revision
	default:
		return source.Instance < other.Instance
	}
}
