// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package callerconn

import (
	"cmp"
	"slices"
	"time"
)

const (
	// crowdedDivisor determines from how many open connections on each ends with its response: all that may be open but for their number
	// divided by it. A higher value lets callers reuse more connections, a lower one ends fewer idle connections without an announcement.
	crowdedDivisor = 4
	// endedDivisor determines how many idle connections are ended at once where too many are open: their allowed number divided by it. A
	// higher value ends fewer of them, a lower one looks for them less often.
	endedDivisor = 16
	// firstRequestTime is how long a new connection may stay without a request where too many are open. A higher value tolerates slower
	// callers, a lower one leaves more room to others.
	firstRequestTime = time.Second
	// headTime is how long the head of a request may take from its first byte where too many are open. A higher value tolerates slower callers, a
	// lower one leaves more room to others.
	headTime = 250 * time.Millisecond
	// roomCheckInterval is the pause before idle connections are looked for again while none can be ended.
	roomCheckInterval = 100 * time.Millisecond
)

// Crowded reports whether so many connections are open that each should end with its response, since there will be no room for new ones
// otherwise.
func (l *Listener) Crowded() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.options.MaxOpen > 0 && len(l.open) > l.options.MaxOpen-l.options.MaxOpen/crowdedDivisor
}

// waitForRoom waits until a further connection may be open, or until the listener is closed. Meanwhile it ends connections without a request.
func (l *Listener) waitForRoom() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for l.options.MaxOpen > 0 && len(l.open) >= l.options.MaxOpen && !l.closed {
		l.endIdle(l.options.Now())
		wake := time.AfterFunc(roomCheckInterval, l.signalChange)
		l.changed.Wait()
		wake.Stop()
	}
}

// signalChange wakes up waitForRoom.
func (l *Listener) signalChange() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.changed.Broadcast()
}

// endIdle ends the connections that have been idle for the longest time. The caller must hold the mutex.
func (l *Listener) endIdle(now time.Time) {
	var idle []idleConn
	for c := range l.open {
		if since, ok := c.endable(now); ok {
			idle = append(idle, idleConn{conn: c, since: since})
		}
	}
	slices.SortFunc(idle, func(a, b idleConn) int { return cmp.Compare(a.since.UnixNano(), b.since.UnixNano()) })
	for _, longest := range idle[:min(len(idle), 1+l.options.MaxOpen/endedDivisor)] {
		longest.conn.endIdleEarly(now)
	}
}

// idleConn is a connection that may be ended, and since when it is idle.
type idleConn struct {
	conn  *Conn
	since time.Time
}

// endable returns since when the connection is idle, and whether it may be ended for others.
func (c *Conn) endable(now time.Time) (time.Time, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case c.endingEarly || c.shuttingDown:
		return time.Time{}, false
	case c.idle:
		return c.idleSince, c.reused || now.Sub(c.idleSince) >= firstRequestTime
	default:
		return c.headSince, c.receivesHead() && now.Sub(c.headSince) >= headTime
	}
}

// receivesHead reports whether the head of a request has begun to arrive; the caller holds the mutex.
func (c *Conn) receivesHead() bool {
	return !c.headSince.IsZero()
}

// endIdleEarly makes a connection without a request end as soon as no received bytes are left to read, so that a request that has arrived is
// served. The error of SetReadDeadline is ignored: it means that the connection has already ended.
func (c *Conn) endIdleEarly(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.idle && !c.receivesHead() {
		return
	}
	c.endingEarly = true
	_ = c.TCPConn.SetReadDeadline(c.effectiveDeadline(now))
}
