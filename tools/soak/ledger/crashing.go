// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
)

const (
	// toldCrashes is how many endpoints a request may end until it counts as one that does.
	toldCrashes = 3
	// heldBack is in the answer to a request that is kept from all endpoints.
	heldBack = "crashes endpoints"
)

// checkCrashing finds requests that were sent to endpoints more often than allowed after all instances must have known that they crash them.
func checkCrashing(r *Record) []Finding {
	var findings []Finding
	for _, crasher := range r.Crashers {
		third, known := r.thirdCrash(crasher)
		if !known {
			continue
		}
		late := r.lateBegins(crasher, third.Add(r.Bounds.Contact))
		if len(late) > r.Bounds.CrashRetries {
			findings = append(findings, Finding{CheckCrashing, late[len(late)-1], fmt.Sprintf("%s began %d times later than %s after it had ended three endpoints",
				crasher.Name, len(late), r.Bounds.Contact)})
		}
	}
	return findings
}

// thirdCrash is when a request had ended three endpoints; false if it has not.
func (r *Record) thirdCrash(crasher Crasher) (time.Time, bool) {
	var crashes []time.Time
	for _, event := range r.Runs {
		if event.Phase == platformstandin.RunCrashed && crasher.has(event.ID) {
			crashes = append(crashes, event.At)
		}
	}
	if len(crashes) < toldCrashes {
		return time.Time{}, false
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes[toldCrashes-1], true
}

// has reports whether an identifier is that of one of the sendings.
func (c Crasher) has(id string) bool {
	return slices.ContainsFunc(c.Sends, func(s Sending) bool { return s.ID == id })
}

// lateBegins gives the sendings after a moment that endpoints began to run, but for those by instances that something kept from knowing.
func (r *Record) lateBegins(crasher Crasher, from time.Time) []string {
	var late []string
	for _, sending := range crasher.Sends {
		begun := slices.ContainsFunc(r.Runs, func(event platformstandin.RunEvent) bool {
			return event.ID == sending.ID && event.Phase == platformstandin.RunBegan
		})
		if begun && sending.At.After(from) && r.knew(sending) {
			late = append(late, sending.ID)
		}
	}
	return late
}

// knew reports whether an instance was in touch for long enough before a sending: neither it nor the store had trouble.
func (r *Record) knew(sending Sending) bool {
	since := sending.At.Add(-r.Bounds.Contact - r.lag(sending.At.Add(-r.Bounds.Contact), sending.At))
	if r.struck(sending.Instance, since, sending.At, Stop, Kill, Freeze, Hangup, LinkBroken) {
		return false
	}
	return !slices.ContainsFunc(r.Disruptions, func(d Disruption) bool { return d.Trouble == StoreTroubled && d.overlaps(since, sending.At) })
}

// checkHeldBack finds requests that were kept from all endpoints, though they crash none.
func checkHeldBack(r *Record) []Finding {
	var findings []Finding
	for _, a := range r.Attempts {
		if a.Outcome == Refused && strings.Contains(a.Cause, heldBack) {
			findings = append(findings, Finding{CheckHeldBack, a.ID, fmt.Sprintf("%s %s at %s", a.Kind, a.Path, a.Instance)})
		}
	}
	return findings
}
