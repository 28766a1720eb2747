// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"time"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
)

// Request decides which instance a planner that lacks newer keys asks for them: one at a time. The zero value has asked
// none; it is not safe for concurrent use.
type Request struct {
	// lacking is since when newer keys are known to others.
	lacking time.Time
	asked   string
	askedAt time.Time
}

// Next gives the instance that is asked now, if any: the planner has read up to a revision itself. The one asked last is passed over
// if another one can be asked.
func (r *Request) Next(now time.Time, revision int64, sources []member.Source) (string, bool) {
	best, due := r.observe(now, revision, sources)
	if !due {
		return "", false
	}
	r.asked, r.askedAt = best.Instance, now
	return best.Instance, true
}

// Due tells whether an instance is asked now. Like Next it notes since when keys are lacking; it asks none.
func (r *Request) Due(now time.Time, revision int64, sources []member.Source) bool {
	_, due := r.observe(now, revision, sources)
	return due
}

// observe notes since when keys are lacking, and gives the best source and whether it is asked now.
func (r *Request) observe(now time.Time, revision int64, sources []member.Source) (member.Source, bool) {
	best, found := r.choose(revision, sources)
	if !found {
		*r = Request{}
		return best, false
	}
	if r.lacking.IsZero() {
		r.lacking = now
	}
	waited := now.Sub(r.lacking) >= member.RelayAfter
	return best, waited && (r.asked == "" || now.Sub(r.askedAt) >= Again)
}

// choose gives the source of the newest keys; of several, the first by name that was not asked last.
func (r *Request) choose(revision int64, sources []member.Source) (member.Source, bool) {
	var best member.Source
	found := false
	for _, one := range sources {
		if one.Revision <= revision {
			continue
		}
		if !found || r.better(one, best) {
			best, found = one, true
		}
	}
	return best, found
}

// better tells whether one source is asked rather than the other.
func (r *Request) better(one, other member.Source) bool {
	switch {
	case (one.Instance == r.asked) != (other.Instance == r.asked):
		return other.Instance == r.asked
	case one.Revision != other.Revision:
		return one.Revision > other.Revision
	default:
		return one.Instance < other.Instance
	}
}
