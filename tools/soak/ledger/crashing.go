// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
)

const (
	// crashThreshold is the number of crashed endpoints from which on instances must stop to forward the request.
	crashThreshold = 3
	// heldBackText is part of the answer to a request that instances do not forward because it crashes endpoints.
	heldBackText = "crashes endpoints"
)

// checkCrashing finds requests that endpoints began to run more often than allowed after all instances must have learned that the
// request crashes endpoints.
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

// thirdCrash returns when a request had crashed three endpoints. It returns false if the request has crashed fewer. An endpoint that runs
// several sendings of the request crashes once, though each of them may record it.
func (r *Record) thirdCrash(crasher Crasher) (time.Time, bool) {
	crashes := make(map[string]time.Time)
	for _, event := range r.Runs {
		if event.Phase != platformstandin.RunCrashed || !crasher.has(event.ID) {
			continue
		}
		if first, known := crashes[event.Endpoint]; !known || event.At.Before(first) {
			crashes[event.Endpoint] = event.At
		}
	}
	if len(crashes) < crashThreshold {
		return time.Time{}, false
	}
	times := slices.SortedFunc(maps.Values(crashes), time.Time.Compare)
	return times[crashThreshold-1], true
}

// has reports whether one of the sendings has the identifier.
func (c Crasher) has(id string) bool {
	return slices.ContainsFunc(c.Sends, func(s Sending) bool { return s.ID == id })
}

// lateBegins returns the identifiers of the sendings after from that endpoints began to run. Sendings to instances that a disruption
// may have kept from learning of the crashes are left out.
func (r *Record) lateBegins(crasher Crasher, from time.Time) []string {
	var late []string
	for _, sending := range crasher.Sends {
		begun := slices.ContainsFunc(r.Runs, func(event platformstandin.RunEvent) bool {
			return event.ID == sending.ID && event.Phase == platformstandin.RunBegan
		})
		if begun && sending.At.After(from) && r.couldLearn(sending) {
			late = append(late, sending.ID)
		}
	}
	return late
}

// couldLearn reports whether an instance had time to learn of the crashes before a sending: neither the instance nor the store was
// disrupted in the Contact time before it.
func (r *Record) couldLearn(sending Sending) bool {
	since := sending.At.Add(-r.Bounds.Contact - r.lag(sending.At.Add(-r.Bounds.Contact), sending.At))
	if r.disrupted(sending.Instance, since, sending.At, Stop, Kill, Freeze, Hangup, LinkBroken) {
		return false
	}
	return !slices.ContainsFunc(r.Disruptions, func(d Disruption) bool { return d.Fault == StoreFault && d.overlaps(since, sending.At) })
}

// checkHeldBack finds requests that instances refused as crashing endpoints although the requests crash none.
func checkHeldBack(r *Record) []Finding {
	var findings []Finding
	for _, a := range r.Attempts {
		if a.Outcome == Refused && strings.Contains(a.Cause, heldBackText) {
			findings = append(findings, Finding{CheckHeldBack, a.ID, fmt.Sprintf("%s %s at %s", a.Kind, a.Path, a.Instance)})
		}
	}
	return findings
}
