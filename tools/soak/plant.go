// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
)

// plantedName is the instance, endpoint or crasher that a planted fault names.
const plantedName = "planted"

// plants maps names to functions that insert a fault into the record of a real run, to show that a check finds the fault there. The
// unit tests of the checks cover every check.
var plants = map[string]func(*ledger.Record){
	"lost": func(r *ledger.Record) {
		wholeUnsafeAttempt(r).Outcome = ledger.Closed
	},
	"ran-though-refused": func(r *ledger.Record) {
		wholeUnsafeAttempt(r).Outcome = ledger.Refused
	},
	"ran-twice": func(r *ledger.Record) {
		id := wholeUnsafeAttempt(r).ID
		r.Runs = append(r.Runs, platformstandin.RunEvent{ID: id, Endpoint: plantedName, Phase: platformstandin.RunBegan, At: time.Now()})
	},
	"another-answer": func(r *ledger.Record) {
		wholeUnsafeAttempt(r).Defect = plantedName
	},
	"late-work": func(r *ledger.Record) {
		r.Departures = append(r.Departures, ledger.Departure{Endpoint: r.Runs[len(r.Runs)-1].Endpoint, Acknowledged: r.Runs[0].At})
	},
	"crashing": func(r *ledger.Record) {
		crasher := ledger.Crasher{Name: plantedName}
		for number := range 8 {
			id, at := fmt.Sprint("planted-", number), r.Runs[0].At.Add(time.Duration(number)*r.Bounds.Contact)
			crasher.Sends = append(crasher.Sends, ledger.Sending{ID: id, Instance: plantedName, At: at})
			r.Runs = append(r.Runs,
				platformstandin.RunEvent{ID: id, Endpoint: id, Phase: platformstandin.RunBegan, At: at},
				platformstandin.RunEvent{ID: id, Endpoint: id, Phase: platformstandin.RunCrashed, At: at})
		}
		r.Crashers = append(r.Crashers, crasher)
	},
	"limit":   func(r *ledger.Record) { plantNotices(r, platformstandin.Notice{Limit: "0.5"}) },
	"leaving": func(r *ledger.Record) { plantNotices(r, platformstandin.Notice{Leaving: true}) },
	"rest":    func(r *ledger.Record) { plantNotices(r, platformstandin.Notice{Rest: "9"}) },
	"two-versions": func(r *ledger.Record) {
		for i := range r.Attempts {
			if r.Attempts[i].Events > 0 {
				r.Attempts[i].Software = append(r.Attempts[i].Software, plantedName)
			}
		}
	},
	"own-end": func(r *ledger.Record) {
		r.Exits = append(r.Exits, ledger.Exit{Instance: plantedName, At: time.Now(), Lifetime: time.Minute})
	},
}

// plantNotices adds requests that one instance keeps sending to an endpoint after the endpoint sent it the notice.
func plantNotices(r *ledger.Record, notice platformstandin.Notice) {
	from := r.Runs[0].At
	for number := range 40 {
		id, at := fmt.Sprint("planted-", number), from.Add(time.Duration(number)*time.Second/4)
		r.Attempts = append(r.Attempts, ledger.Attempt{ID: id, Instance: plantedName, Began: at, Sent: at, Ended: at, Outcome: ledger.Failed})
		r.Notices = append(r.Notices,
			platformstandin.RunEvent{ID: id, Endpoint: plantedName, Phase: platformstandin.RunArrived, At: at, SentNotice: notice},
			platformstandin.RunEvent{ID: id, Endpoint: plantedName, Phase: platformstandin.RunNoticeReceived, At: at, SentNotice: notice})
	}
}

func plantNames() []string {
	var names []string
	for name := range plants {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// wholeUnsafeAttempt returns the first attempt on an unsafe route that got a whole answer. If there is none, it returns an attempt
// outside the record, so that no fault is planted.
func wholeUnsafeAttempt(r *ledger.Record) *ledger.Attempt {
	for i := range r.Attempts {
		if r.Attempts[i].Kind == ledger.Unsafe && r.Attempts[i].Outcome == ledger.Whole {
			return &r.Attempts[i]
		}
	}
	return &ledger.Attempt{}
}
