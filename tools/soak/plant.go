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

// planted names what a planted fault is of.
const planted = "planted"

// plants are faults that are put into the record of a real run, by name: each shows that a check finds it there. The checks' own tests
// have one for each check.
var plants = map[string]func(*ledger.Record){
	"lost": func(r *ledger.Record) {
		whole(r).Outcome = ledger.Closed
	},
	"ran-though-refused": func(r *ledger.Record) {
		whole(r).Outcome = ledger.Refused
	},
	"ran-twice": func(r *ledger.Record) {
		id := whole(r).ID
		r.Runs = append(r.Runs, platformstandin.RunEvent{ID: id, Endpoint: planted, Phase: platformstandin.RunBegan, At: time.Now()})
	},
	"another-answer": func(r *ledger.Record) {
		whole(r).Wrong = planted
	},
	"late-work": func(r *ledger.Record) {
		r.Departures = append(r.Departures, ledger.Departure{Endpoint: r.Runs[len(r.Runs)-1].Endpoint, Acknowledged: r.Runs[0].At})
	},
	"crashing": func(r *ledger.Record) {
		crasher := ledger.Crasher{Name: planted}
		for number := range 8 {
			id, at := fmt.Sprint("planted-", number), r.Runs[0].At.Add(time.Duration(number)*r.Bounds.Contact)
			crasher.Sends = append(crasher.Sends, ledger.Sending{ID: id, Instance: planted, At: at})
			r.Runs = append(r.Runs,
				platformstandin.RunEvent{ID: id, Endpoint: id, Phase: platformstandin.RunBegan, At: at},
				platformstandin.RunEvent{ID: id, Endpoint: id, Phase: platformstandin.RunCrashed, At: at})
		}
		r.Crashers = append(r.Crashers, crasher)
	},
	"limit":   func(r *ledger.Record) { plantNotices(r, platformstandin.Notice{Limit: "0.5"}) },
	"leaving": func(r *ledger.Record) { plantNotices(r, platformstandin.Notice{Leaving: true}) },
	"rest":    func(r *ledger.Record) { plantNotices(r, platformstandin.Notice{Rest: "9"}) },
	"own-end": func(r *ledger.Record) {
		r.Exits = append(r.Exits, ledger.Exit{Instance: planted, At: time.Now(), Lived: time.Minute})
	},
}

// plantNotices has an endpoint that says something of itself go on getting requests of one instance.
func plantNotices(r *ledger.Record, said platformstandin.Notice) {
	from := r.Runs[0].At
	for number := range 40 {
		id, at := fmt.Sprint("planted-", number), from.Add(time.Duration(number)*time.Second/4)
		r.Attempts = append(r.Attempts, ledger.Attempt{ID: id, Instance: planted, Began: at, Sent: at, Ended: at, Outcome: ledger.Failed})
		r.Notices = append(r.Notices,
			platformstandin.RunEvent{ID: id, Endpoint: planted, Phase: platformstandin.RunArrived, At: at, SentNotice: said},
			platformstandin.RunEvent{ID: id, Endpoint: planted, Phase: platformstandin.RunNoticeReceived, At: at, SentNotice: said})
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

// whole gives an attempt that got its whole answer and must not run twice; a run without any has nothing to plant a fault in.
func whole(r *ledger.Record) *ledger.Attempt {
	for i := range r.Attempts {
		if r.Attempts[i].Kind == ledger.Unsafe && r.Attempts[i].Outcome == ledger.Whole {
			return &r.Attempts[i]
		}
	}
	return &ledger.Attempt{}
}
