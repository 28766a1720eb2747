// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"time"

	"github.com/sirupsen/logrus"
)

// platformCall is the name of a call to the platform in log lines.
type platformCall string

const (
	callGrant     platformCall = "grant"
	callKeepAlive platformCall = "keepalive"
	callReadOwner platformCall = "read owner"
	callAcquire   platformCall = "acquire"
	callReadLease platformCall = "read lease"
	callRelease   platformCall = "release"
	callSettle    platformCall = "settle"
	// callQueue stands for a call that was not made because the queue of calls to the key-value service was full.
	callQueue platformCall = "queue"
	callList  platformCall = "list"
)

// failureEffects describes the effect of the failure of each call.
var failureEffects = map[platformCall]string{
	callGrant:     "no lease, so that no pool is owned; asked for again",
	callKeepAlive: "no renewal, so that the right to order ends by itself; tried again",
	callReadOwner: "the last owner is not known, so that the pool is neither claimed nor settled",
	callAcquire:   "the pool is not owned; asked for again",
	callReadLease: "the pool's key stays until its lease lapses; tried again at the next renewal",
	callRelease:   "the pool's key may stay until its lease lapses; tried again at the next renewal",
	callSettle:    "successors wait once more for owners that have ended",
	callQueue:     "too many calls wait; this one was not made",
	callList:      "instances and leaving endpoints are those of the last list; read again",
}

// failureLogInterval is the minimum time between two log lines about the same call; the failures in between are counted. A longer time writes
// fewer lines during an outage; a shorter one shows sooner that the outage continues.
const failureLogInterval = 10 * time.Second

// failureLog logs failed calls. It must be used by one goroutine only.
type failureLog struct {
	entry  *logrus.Entry
	now    func() time.Time
	logged map[platformCall]loggedFailure
}

// loggedFailure is the time of a call's last log line and the number of failures since then.
type loggedFailure struct {
	at         time.Time
	suppressed int
}

func newFailureLog(o Options) *failureLog {
	return &failureLog{entry: o.Log, now: o.Now, logged: make(map[platformCall]loggedFailure)}
}

// log logs a failed call, with its pool if it has one, unless the call was logged within failureLogInterval.
func (l *failureLog) log(call platformCall, pool string, err error) {
	now := l.now()
	last, logged := l.logged[call]
	if logged && now.Sub(last.at) < failureLogInterval {
		last.suppressed++
		l.logged[call] = last
		return
	}
	l.logged[call] = loggedFailure{at: now}
	l.entry.WithError(err).WithFields(logrus.Fields{
		"call": call, "pool": pool, "reason": failureEffects[call], "suppressed": last.suppressed,
	}).Warn("a call to the platform failed")
}
