// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
)

// noticeRecord returns a record of count requests of one instance at an endpoint, one each pause, all of which got the same notice.
func noticeRecord(notice platformstandin.Notice, count int, pause time.Duration) *ledger.Record {
	r := &ledger.Record{Bounds: ledger.Bounds{
		Drain: 2 * second, Contact: 3 * second, LimitSpan: 4 * second, LimitSlack: 1.5, LimitExtra: 5, NoticeApply: second / 2, RestRequests: 2,
	}}
	for i := range count {
		id, when := fmt.Sprint("r-", i), at(time.Duration(i)*pause)
		r.Attempts = append(r.Attempts, ledger.Attempt{ID: id, Instance: "a", Began: when})
		for _, phase := range []platformstandin.RunPhase{platformstandin.RunArrived, platformstandin.RunNoticeReceived} {
			r.Notices = append(r.Notices, platformstandin.RunEvent{ID: id, Endpoint: "e", Phase: phase, At: when, SentNotice: notice})
		}
	}
	return r
}

func TestNoticeChecks(t *testing.T) {
	limit, leaving, rest := platformstandin.Notice{Limit: "1"}, platformstandin.Notice{Leaving: true}, platformstandin.Notice{Rest: "3"}
	for name, test := range map[string]struct {
		record *ledger.Record
		adjust func(*ledger.Record)
		check  string
		found  bool
	}{
		"requests within limit":                          {noticeRecord(limit, 40, second), nil, ledger.CheckLimit, false},
		"requests beyond limit":                          {noticeRecord(limit, 120, second/4), nil, ledger.CheckLimit, true},
		"requests before limit applies":                  {noticeRecord(limit, 13, second/4), nil, ledger.CheckLimit, false},
		"requests beyond limit, instance frozen":         {noticeRecord(limit, 120, second/4), addDisruption(ledger.Freeze, "a", 0, 40*second), ledger.CheckLimit, false},
		"requests until leave notice applies":            {noticeRecord(leaving, 9, second/4), nil, ledger.CheckLeaving, false},
		"request after leave notice applies":             {noticeRecord(leaving, 10, second/4), nil, ledger.CheckLeaving, true},
		"request after leave notice, instance restarted": {noticeRecord(leaving, 10, second/4), addDisruption(ledger.Kill, "a", second, second), ledger.CheckLeaving, false},
		"two requests within rest":                       {noticeRecord(rest, 3, second), nil, ledger.CheckRest, false},
		"three requests within rest":                     {noticeRecord(rest, 4, 7*second/10), nil, ledger.CheckRest, true},
		"requests before rest applies":                   {noticeRecord(rest, 20, second/50), nil, ledger.CheckRest, false},
		"rest, other requests not in record":             {noticeRecord(rest, 20, second/4), func(r *ledger.Record) { r.Attempts = r.Attempts[:1] }, ledger.CheckRest, false},
		"no notice":                                      {noticeRecord(platformstandin.Notice{}, 40, second/10), nil, ledger.CheckLeaving, false},
	} {
		t.Run(name, func(t *testing.T) {
			if test.adjust != nil {
				test.adjust(test.record)
			}
			assert.Equal(t, test.found, len(ledger.Checks[test.check](test.record)) > 0)
		})
	}
}
