// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/modules/fingerprint"
	"github.com/shelfledge/shelfledge/services/quarantine"
)

const (
	// step is the time between two states of a simulated fleet, and recordDelay the time that records take from one instance to the next.
	step        = 10 * time.Millisecond
	recordDelay = 30 * time.Millisecond
	// crashDelay is the time after which a crashing request ends its endpoint, and answerDelay the duration of other requests.
	crashDelay  = 40 * time.Millisecond
	answerDelay = 600 * time.Millisecond
	// endpointsPerRack endpoints end together when a rack is lost, every rackInterval.
	endpointsPerRack = 4
	rackInterval     = 2 * time.Second
)

// exchange is a request in flight at an endpoint.
type exchange struct {
	instance int
	request  fingerprint.Fingerprint
	endpoint int
	endsAt   time.Time
}

// message is a set of records on the way to an instance.
type message struct {
	to       int
	arrives  time.Time
	crashes  []quarantine.Crash
	fromPeer bool
}

// fleet simulates instances that exchange records by way of the first one, the planner, and endpoints that requests or lost racks end.
type fleet struct {
	random    *rand.Rand
	now       time.Time
	tables    []*quarantine.Table
	endpoints int
	// incarnations counts the starts of each endpoint.
	incarnations []int
	exchanges    []exchange
	messages     []message
	// crashes are the times at which crashing requests ended endpoints, by request.
	crashes map[fingerprint.Fingerprint][]time.Time
	// sent and refused count the requests that are answered unless their endpoint ends.
	sent, refused int
}

func newFleet(seed uint64, instances int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, uint64(instances))), now: start, endpoints: 6 + 2*instances, crashes: make(map[fingerprint.Fingerprint][]time.Time),
	}
	for i := range instances {
		f.tables = append(f.tables, quarantine.NewSharedTable(fmt.Sprint("instance ", i)))
	}
	f.incarnations = make([]int, f.endpoints)
	return f
}

// send sends a request from an instance and reports whether it is in flight then.
func (f *fleet) send(instance int, number fingerprint.Fingerprint, crashes bool) bool {
	if _, held := f.tables[instance].Admit(f.now, number); held {
		return false
	}
	delay := answerDelay
	if crashes {
		delay = crashDelay
	}
	f.tables[instance].RecordSent(number)
	f.exchanges = append(f.exchanges, exchange{instance: instance, request: number, endpoint: f.random.IntN(f.endpoints), endsAt: f.now.Add(delay)})
	return true
}

// end ends the endpoint and all exchanges there.
func (f *fleet) end(endpoint int) {
	name := fmt.Sprint(endpoint, "/", f.incarnations[endpoint])
	f.incarnations[endpoint]++
	var others []exchange
	for _, e := range f.exchanges {
		if e.endpoint != endpoint {
			others = append(others, e)
			continue
		}
		f.tables[e.instance].RecordCrash(f.now, e.request, name)
		f.tables[e.instance].RecordEnded(e.request)
	}
	f.exchanges = others
}

// finishExchanges ends the exchanges that are due, with their endpoints if the requests crash them.
func (f *fleet) finishExchanges(crashing map[fingerprint.Fingerprint]bool) {
	for i := 0; i < len(f.exchanges); i++ {
		e := f.exchanges[i]
		if e.endsAt.After(f.now) {
			continue
		}
		i = -1
		if crashing[e.request] {
			f.crashes[e.request] = append(f.crashes[e.request], f.now)
			f.end(e.endpoint)
			continue
		}
		f.tables[e.instance].RecordAnswered(f.now, e.request)
		f.tables[e.instance].RecordEnded(e.request)
		f.exchanges = removeExchange(f.exchanges, e)
	}
}

func removeExchange(exchanges []exchange, ended exchange) []exchange {
	for i, e := range exchanges {
		if e == ended {
			return append(exchanges[:i:i], exchanges[i+1:]...)
		}
	}
	return exchanges
}

// exchangeRecords delivers records that have arrived and sends those that changed.
func (f *fleet) exchangeRecords() {
	var later []message
	for _, m := range f.messages {
		if m.arrives.After(f.now) {
			later = append(later, m)
			continue
		}
		f.tables[m.to].Merge(f.now, m.crashes, m.fromPeer)
	}
	f.messages = later
	for i, table := range f.tables {
		if !table.HasUnsent() {
			continue
		}
		crashes := table.TakeUnsent(f.now)
		if i > 0 {
			f.messages = append(f.messages, message{to: 0, arrives: f.now.Add(recordDelay), crashes: aged(crashes), fromPeer: true})
			continue
		}
		for to := 1; to < len(f.tables); to++ {
			f.messages = append(f.messages, message{to: to, arrives: f.now.Add(recordDelay), crashes: aged(crashes)})
		}
	}
}

// aged returns the records as the receiver gets them, which does not know how long they took.
func aged(crashes []quarantine.Crash) []quarantine.Crash {
	return append([]quarantine.Crash(nil), crashes...)
}

// run simulates the fleet. All instances send each crashing request at the same moment, again after 1.5 to 4.5 s, and each repeats the popular
// requests.
func (f *fleet) run(duration time.Duration, crashing, popular []fingerprint.Fingerprint, racks bool) {
	crashes, next := make(map[fingerprint.Fingerprint]bool), make(map[fingerprint.Fingerprint]time.Time)
	for _, number := range crashing {
		crashes[number] = true
		// The popular requests have been answered when trouble begins.
		next[number] = f.now.Add(2 * time.Second)
	}
	nextRack := f.now.Add(rackInterval)
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(step) {
		f.exchangeRecords()
		f.finishExchanges(crashes)
		for _, number := range crashing {
			if f.now.Before(next[number]) {
				continue
			}
			next[number] = f.now.Add(1500*time.Millisecond + time.Duration(f.random.Int64N(int64(3*time.Second))))
			for instance := range f.tables {
				f.send(instance, number, true)
			}
		}
		if racks && !f.now.Before(nextRack) {
			nextRack = f.now.Add(rackInterval)
			first := f.random.IntN(f.endpoints)
			for i := range endpointsPerRack {
				f.end((first + i) % f.endpoints)
			}
		}
		for instance := range f.tables {
			if f.random.IntN(10) > 0 {
				continue
			}
			f.sent++
			if !f.send(instance, popular[f.random.IntN(len(popular))], false) {
				f.refused++
			}
		}
	}
}

// TestFleetSendsCrashingRequestsToFewEndpointsAndServesPopularOnes simulates fleets whose callers all send the crashing requests at the same
// moment, while racks are lost under requests that are repeated often.
func TestFleetSendsCrashingRequestsToFewEndpointsAndServesPopularOnes(t *testing.T) {
	const (
		// lateAfter is the time after the third crash from which on a request is sent too late, and allowedLate how often that may happen.
		lateAfter   = 3 * time.Second
		allowedLate = 3
	)
	for _, instances := range []int{3, 6, 66} {
		for _, racks := range []bool{false, true} {
			for seed := range uint64(4) {
				f := newFleet(seed, instances)
				crashing := []fingerprint.Fingerprint{{1}, {2}, {3}, {4}}
				f.run(30*time.Second, crashing, []fingerprint.Fingerprint{{11, 1}, {12, 2}}, racks)
				name := fmt.Sprintf("%d instances, racks lost: %t, seed %d", instances, racks, seed)
				for _, request := range crashing {
					crashes := f.crashes[request]
					if len(crashes) < 3 {
						continue
					}
					late := 0
					for _, at := range crashes {
						if at.Sub(crashes[2]) > lateAfter {
							late++
						}
					}
					assert.LessOrEqual(t, late, allowedLate, "%s: late of %d crashes", name, len(crashes))
				}
				assert.Less(t, f.refused, f.sent/100, "%s: popular requests refused or delayed, of %d", name, f.sent)
			}
		}
	}
}
