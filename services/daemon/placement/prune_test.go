// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
	"github.com/shelfledge/shelfledge/services/daemon/placement/backoff"
	"github.com/shelfledge/shelfledge/services/daemon/placement/queue"
	"github.com/shelfledge/shelfledge/tests/retained"
)

const (
	// oneTimeKeys is a number of keys used once that a flood may bring within the retention times.
	oneTimeKeys = 100_000
	// maxRetained is a number of entries that takes a small part of the 32 MB that a node may use for control.
	maxRetained = 1 << 15
)

// keyCount is the number of customers or adapters that are used once.
const keyCount = 200

// retainedEntries counts the entries of all maps, slices and arrays that are reachable from v.
func retainedEntries(v any) int {
	return retained.Entries(v)
}

// tickForOneDay calls Tick every second for a day without requests.
func tickForOneDay(p *placement.Placer, now time.Time) {
	for end := now.Add(24 * time.Hour); now.Before(end); now = now.Add(time.Second) {
		p.Tick(now)
	}
}

// placerAfterServing returns a placer that loaded adapter a once, ran the requests of the given number of customers and was
// then idle for a day.
func placerAfterServing(t *testing.T, customers int, o placement.Options) *placement.Placer {
	t.Helper()
	e := endpoint(1)
	e.MaxBatch = keyCount
	p := placement.NewPlacer("h1/base", "i1", []fleet.Endpoint{e}, o)
	p.TakeOverEndpoint(begin, inspection(0), 1, begin)
	for i := range keyCount {
		r := request(fmt.Sprint("q", i), "a")
		r.Caller = fmt.Sprint("customer", i%customers)
		p.Submit(at(1), r)
	}
	orderLoad(t, p, at(2))
	granted := effectsOfType[placement.Grant](p.HandleLoadResult(at(3), "e1", "e1-1", ref("a"), placement.LoadDone, ""))
	require.NotEmpty(t, granted)
	for len(granted) > 0 {
		next := p.ReturnTicket(at(4), granted[0].Ticket.ID)
		granted = append(granted[1:], effectsOfType[placement.Grant](next)...)
	}
	require.Zero(t, p.Summary().Waiting)
	tickForOneDay(p, at(5))
	return p
}

// TestLoadsOfCustomersLongGoneAreForgotten guards against a placer that keeps the decaying count of loads of every customer for whom it ever
// loaded an adapter.
func TestLoadsOfCustomersLongGoneAreForgotten(t *testing.T) {
	o := placement.DefaultOptions()
	// Without fair queuing, the queue keeps no state of customers without waiting requests.
	o.DisableFairQueue = true
	require.Less(t, retainedEntries(placerAfterServing(t, keyCount, o))-retainedEntries(placerAfterServing(t, 1, o)), keyCount/2)
}

// TestLoadCountsOfOneTimeCustomersStayLimited guards against load counts that are kept until they decay however many there are.
func TestLoadCountsOfOneTimeCustomersStayLimited(t *testing.T) {
	const customersPerLoad = 400
	o := placement.DefaultOptions()
	// Without fair queuing, the queue keeps no state of customers without waiting requests.
	o.DisableFairQueue = true
	p := placement.NewPlacer("h1/base", "i1", []fleet.Endpoint{endpoint(1)}, o)
	p.TakeOverEndpoint(begin, inspection(0), 1, begin)
	for load := range oneTimeKeys / customersPerLoad {
		now, adapter := at(load+1), fmt.Sprint("a", load)
		for i := range customersPerLoad {
			r := request(fmt.Sprint("q", i), adapter)
			r.Caller = fmt.Sprint("customer", load, "/", i)
			p.Submit(now, r)
		}
		orderLoad(t, p, now)
		for i := range customersPerLoad {
			p.Withdraw(now, fmt.Sprint("q", i))
		}
		p.HandleLoadResult(now, "e1", "e1-1", ref(adapter), placement.LoadDone, "")
	}
	require.Less(t, retainedEntries(p), maxRetained)
}

// TestLimitOfLoadCountsKeepsHighestCounts checks that a customer with many loads is still held back after as many loads for others.
func TestLimitOfLoadCountsKeepsHighestCounts(t *testing.T) {
	p := newPlacer(endpoint(1))
	load := func(customer string) {
		r := request("q", customer)
		r.Caller = customer
		p.Submit(at(1), r)
		orderLoad(t, p, at(1))
		p.Withdraw(at(1), "q")
		p.HandleLoadResult(at(1), "e1", "e1-1", ref(customer), placement.LoadDone, "")
	}
	load("many")
	load("other")
	load("many")
	for i := range maxRetained {
		load(fmt.Sprint("customer", i))
	}
	held, fresh := request("q1", "a"), request("q2", "b")
	held.Caller, fresh.Caller = "many", "fresh"
	p.Submit(at(1), held)
	p.Submit(at(1), fresh)
	bid, found := p.BestBid(at(1))
	require.True(t, found)
	require.Equal(t, ref("b"), bid.Adapter)
}

// TestCustomerLoadCountLowersBidUntilItDecays lets a customer with a recent load request a, and another customer request b.
// The bid is for b while the recent load counts; after that both values are equal and a precedes b by name.
func TestCustomerLoadCountLowersBidUntilItDecays(t *testing.T) {
	const countedFor = 10 * time.Minute
	for _, row := range []struct {
		later time.Duration
		first string
	}{{time.Second, "b"}, {countedFor - 10*time.Second, "b"}, {2 * countedFor, "a"}} {
		p := newPlacer(endpoint(2))
		p.Submit(at(1), request("q", "x"))
		orderLoad(t, p, at(2))
		p.Withdraw(at(3), "q")
		now := at(2)
		for end := now.Add(row.later); now.Before(end); now = now.Add(time.Second) {
			p.Tick(now)
		}
		p.Submit(now, request("q1", "a"))
		other := request("q2", "b")
		other.Caller = "other"
		p.Submit(now, other)
		bid, found := p.BestBid(now)
		require.True(t, found)
		require.Equal(t, ref(row.first), bid.Adapter, "after %v", row.later)
	}
}

// TestFailuresOfAdaptersLongGoneAreForgotten guards against a placer that keeps the failures of every adapter whose last load failed. It
// compares one whose last load of each adapter failed with one whose loads succeeded; their other state is the same.
func TestFailuresOfAdaptersLongGoneAreForgotten(t *testing.T) {
	after := func(outcome placement.LoadOutcome) int {
		p := newPlacer(endpoint(1))
		for i := range keyCount {
			now, name := at(100*i+1), fmt.Sprint("a", i)
			id := "q" + name
			p.Submit(now, request(id, name))
			order := orderLoad(t, p, now)
			for _, g := range effectsOfType[placement.Grant](p.HandleLoadResult(now, "e1", "e1-1", order.Adapter, outcome, "no such file")) {
				p.ReturnTicket(now, g.Ticket.ID)
			}
			p.Withdraw(now, id)
			var resident []fleet.AdapterRef
			if outcome == placement.LoadDone {
				resident = append(resident, order.Adapter)
			}
			p.HandleInspection(now.Add(2*time.Millisecond), inspection(100*i+2, resident...))
		}
		tickForOneDay(p, at(100*keyCount))
		return retainedEntries(p)
	}
	require.Less(t, after(placement.LoadFailed)-after(placement.LoadDone), keyCount/2)
}

// TestFailuresOfOneTimeAdaptersStayLimited guards against failures that are kept for their retention time however many there are.
func TestFailuresOfOneTimeAdaptersStayLimited(t *testing.T) {
	const loadsPerSecond = 40
	f := backoff.New(backoff.Options{Base: 2 * time.Second, Max: time.Minute, GiveUp: 5})
	for i := range oneTimeKeys {
		f.RecordFailure(begin.Add(time.Duration(i)*time.Second/loadsPerSecond), ref(fmt.Sprint("a", i)))
	}
	require.Less(t, retainedEntries(f), maxRetained)
}

// TestTagsOfCustomersLongGoneAreForgotten guards against a queue that keeps the last tag of each customer who sent one request, although
// virtual time has passed it.
func TestTagsOfCustomersLongGoneAreForgotten(t *testing.T) {
	q := queue.New(false)
	class := fleet.Class{Name: "c"}
	serve := func(r fleet.Request) {
		q.Push(begin, r, class, 0)
		w, ok := q.Find(r.ID)
		require.True(t, ok)
		q.Dispatch(w)
	}
	for i := range keyCount {
		r := request(fmt.Sprint("q", i), "a")
		r.Caller = fmt.Sprint("customer", i)
		serve(r)
	}
	for i := range keyCount {
		serve(request(fmt.Sprint("later", i), "a"))
	}
	require.Zero(t, q.Len())
	require.Less(t, retainedEntries(q), keyCount/2, "virtual time has passed every tag")
}

// TestTagsOfOneTimeCustomersStayLimited guards against tags that are kept for their retention time however many there are. Each customer
// starts at the same tag, so virtual time passes none.
func TestTagsOfOneTimeCustomersStayLimited(t *testing.T) {
	for name, leave := range map[string]func(*queue.Queue, *queue.Waiter){
		"after it started":  (*queue.Queue).Dispatch,
		"before it started": (*queue.Queue).Remove,
	} {
		t.Run(name, func(t *testing.T) {
			q := queue.New(false)
			for i := range oneTimeKeys {
				r := request(fmt.Sprint("q", i), "a")
				r.Caller = fmt.Sprint("customer", i)
				q.Push(at(i), r, fleet.Class{Name: "c"}, 0)
				w, ok := q.Find(r.ID)
				require.True(t, ok)
				leave(q, w)
			}
			require.Less(t, retainedEntries(q), maxRetained)
		})
	}
}

// TestLimitOfTagsKeepsThoseThatDelayMost checks that neither a customer with a waiting request nor one after a burst is forgotten because
// many others come once.
func TestLimitOfTagsKeepsThoseThatDelayMost(t *testing.T) {
	class := fleet.Class{Name: "c"}
	q := queue.New(false)
	push := func(id, customer string) *queue.Waiter {
		r := request(id, "a")
		r.Caller = customer
		q.Push(begin, r, class, 0)
		w, ok := q.Find(id)
		require.True(t, ok)
		return w
	}
	for i := range 3 {
		push(fmt.Sprint("waits", i), "waits")
		push(fmt.Sprint("burst", i), "burst")
	}
	for i := range 3 {
		w, _ := q.Find(fmt.Sprint("burst", i))
		q.Remove(w)
	}
	for i := range oneTimeKeys {
		q.Remove(push(fmt.Sprint("q", i), fmt.Sprint("customer", i)))
	}
	burst, waits, fresh := push("burst3", "burst"), push("waits3", "waits"), push("fresh", "fresh")
	require.True(t, fresh.Before(waits, begin, time.Hour), "the tag of a waiting customer is kept")
	require.True(t, fresh.Before(burst, begin, time.Hour), "the tag after a burst is kept")
}

// TestPrunesTagsOfOneTimeCustomers covers the case in which the virtual time does not advance, since each customer starts at the same tag.
func TestPrunesTagsOfOneTimeCustomers(t *testing.T) {
	o := placement.DefaultOptions()
	require.Less(t, retainedEntries(placerAfterServing(t, keyCount, o))-retainedEntries(placerAfterServing(t, 1, o)), keyCount/2)
}

// TestPrunesStateOfClassesUsedOnce uses a different class for each request, since callers may send any class name.
func TestPrunesStateOfClassesUsedOnce(t *testing.T) {
	after := func(classes int) int {
		p := newPlacer(endpoint(1))
		for i := range keyCount {
			r := request(fmt.Sprint("q", i), "a")
			r.Class = fmt.Sprint("class", i%classes)
			p.Submit(at(i), r)
		}
		p.RefuseAll(at(keyCount), fleet.ReasonStopping, 0)
		tickForOneDay(p, at(keyCount))
		return retainedEntries(p)
	}
	require.Less(t, after(keyCount)-after(1), keyCount/2)
}

// TestPruningDoesNotDependOnNumberOfGrants makes 255 grants between two sweeps, so that the sum of grants and sweeps is never
// a multiple of 256 at a sweep. It guards against a counter shared by ticket IDs and sweeps.
func TestPruningDoesNotDependOnNumberOfGrants(t *testing.T) {
	const grantsPerSweep, idleTime = 255, 12 * time.Hour
	p := newPlacer(endpoint(2))
	p.HandleInspection(at(2), inspection(1, ref("a")))
	p.Submit(at(3), request("once", "b"))
	p.Withdraw(at(3), "once")
	before := retainedEntries(p)
	now := begin.Add(idleTime)
	for range 1024 {
		now = now.Add(time.Second)
		p.Tick(now)
		for range grantsPerSweep {
			granted := effectsOfType[placement.Grant](p.Submit(now, request("q", "a")))
			require.Len(t, granted, 1)
			p.ReturnTicket(now, granted[0].Ticket.ID)
		}
	}
	require.Less(t, retainedEntries(p), before+2, "state of a was added, that of b was pruned")
}

// TestRatesOfOneTimeAdaptersStayLimited guards against rates and base models that are kept until they decay however many there are. A placer
// keeps both for each adapter.
func TestRatesOfOneTimeAdaptersStayLimited(t *testing.T) {
	const maxRetainedOfBoth = 4 * maxRetained
	p := newPlacer(endpoint(1))
	for i := range 2 * oneTimeKeys {
		id := fmt.Sprint("q", i)
		p.Submit(at(i), request(id, fmt.Sprint("a", i)))
		p.Withdraw(at(i), id)
	}
	require.Less(t, retainedEntries(p), maxRetainedOfBoth)
}

// TestPrunesBasesOfIdleAdapters compares many adapters with one request each with one adapter that has the same number of requests.
func TestPrunesBasesOfIdleAdapters(t *testing.T) {
	after := func(adapters int) int {
		p := newPlacer(endpoint(1))
		for i := range keyCount {
			id := fmt.Sprint("q", i)
			p.Submit(at(i), request(id, fmt.Sprint("a", i%adapters)))
			p.Withdraw(at(i), id)
		}
		tickForOneDay(p, at(keyCount))
		return retainedEntries(p)
	}
	require.Less(t, after(keyCount)-after(1), keyCount/2)
}

// TestKeepsBaseOfAdapterWithWaitingRequest lets the rate of an adapter decay while a request still waits for it.
func TestKeepsBaseOfAdapterWithWaitingRequest(t *testing.T) {
	p := newPlacer(endpoint(1))
	p.SetPreload([]fleet.AdapterRef{ref("preloaded")}, func(fleet.AdapterRef) string { return "base" })
	p.Submit(at(1), request("q1", "a"))
	tickForOneDay(p, at(2))
	now := at(2).Add(24 * time.Hour)
	require.Equal(t, ref("a"), orderLoad(t, p, now).Adapter)
	p.Withdraw(now, "q1")
	p.HandleLoadResult(now, "e1", "e1-1", ref("a"), placement.LoadDone, "")
	require.Equal(t, ref("preloaded"), orderLoad(t, p, now).Adapter)
}
