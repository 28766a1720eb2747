// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
	"github.com/shelfledge/shelfledge/services/daemon/placement/queue"
)

// many is the number of customers or adapters that come once and never again.
const many = 200

// retained counts the entries of all maps, slices and arrays that are reachable from v.
func retained(v any) int {
	seen := make(map[uintptr]bool)
	return count(reflect.ValueOf(v), seen)
}

func count(v reflect.Value, seen map[uintptr]bool) int {
	switch v.Kind() {
	case reflect.Pointer, reflect.Map:
		if v.IsNil() || seen[v.Pointer()] {
			return 0
		}
		seen[v.Pointer()] = true
	default:
	}
	sum := 0
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		return count(v.Elem(), seen)
	case reflect.Struct:
		for i := range v.NumField() {
			sum += count(v.Field(i), seen)
		}
	case reflect.Map:
		for entries := v.MapRange(); entries.Next(); {
			sum += 1 + count(entries.Value(), seen)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			sum += 1 + count(v.Index(i), seen)
		}
	default:
	}
	return sum
}

// quiet lets a day pass in which nobody asks for anything.
func quiet(p *placement.Placer, now time.Time) {
	for end := now.Add(24 * time.Hour); now.Before(end); now = now.Add(time.Second) {
		p.Tick(now)
	}
}

// served loads adapter a once for so many customers that wait for it, and runs their requests.
func served(t *testing.T, customers int, o placement.Options) *placement.Placer {
	t.Helper()
	e := endpoint(1)
	e.MaxBatch = many
	p := placement.NewPlacer("h1/base", "i1", []fleet.Endpoint{e}, o)
	p.Adopt(begin, list(0), 1, begin)
	for i := range many {
		r := request(fmt.Sprint("q", i), "a")
		r.Caller = fmt.Sprint("customer", i%customers)
		p.Submit(at(1), r)
	}
	load(t, p, at(2))
	granted := only[placement.Grant](p.Loaded(at(3), "e1", "e1-1", ref("a"), placement.LoadDone, ""))
	require.NotEmpty(t, granted)
	for len(granted) > 0 {
		next := p.Return(at(4), granted[0].Ticket.ID)
		granted = append(granted[1:], only[placement.Grant](next)...)
	}
	require.Zero(t, p.Summary().Waiting)
	quiet(p, at(5))
	return p
}

// TestLoadsOfCustomersLongGoneAreForgotten looks at the fading count of loads of each customer for whom an adapter was loaded.
func TestLoadsOfCustomersLongGoneAreForgotten(t *testing.T) {
	o := placement.DefaultOptions()
	// The plain queue keeps nothing of a customer that does not wait.
	o.PlainQueue = true
	require.Less(t, retained(served(t, many, o))-retained(served(t, 1, o)), many/2)
}

// TestLoadsOfACustomerCountForTheirSpan has a customer for whom an adapter was loaded ask for a, and another for b: the load
// of b is worth more while that load counts, and a goes first by its name when it does not.
func TestLoadsOfACustomerCountForTheirSpan(t *testing.T) {
	const span = 10 * time.Minute
	for _, row := range []struct {
		later time.Duration
		first string
	}{{time.Second, "b"}, {span - 10*time.Second, "b"}, {2 * span, "a"}} {
		p := newPlacer(endpoint(2))
		p.Submit(at(1), request("q", "x"))
		load(t, p, at(2))
		p.Cancel(at(3), "q")
		now := at(2)
		for end := now.Add(row.later); now.Before(end); now = now.Add(time.Second) {
			p.Tick(now)
		}
		p.Submit(now, request("q1", "a"))
		other := request("q2", "b")
		other.Caller = "other"
		p.Submit(now, other)
		bid, wants := p.Bid(now)
		require.True(t, wants)
		require.Equal(t, ref(row.first), bid.Adapter, "after %v", row.later)
	}
}

// TestFailuresOfAdaptersLongGoneAreForgotten has the last load of each adapter fail. Other state of the adapters is the same
// where the loads succeed.
func TestFailuresOfAdaptersLongGoneAreForgotten(t *testing.T) {
	after := func(result placement.LoadResult) int {
		p := newPlacer(endpoint(1))
		for i := range many {
			now, name := at(100*i+1), fmt.Sprint("a", i)
			id := "q" + name
			p.Submit(now, request(id, name))
			order := load(t, p, now)
			for _, g := range only[placement.Grant](p.Loaded(now, "e1", "e1-1", order.Adapter, result, "no such file")) {
				p.Return(now, g.Ticket.ID)
			}
			p.Cancel(now, id)
			var resident []fleet.AdapterRef
			if result == placement.LoadDone {
				resident = append(resident, order.Adapter)
			}
			p.Inspected(now.Add(2*time.Millisecond), list(100*i+2, resident...))
		}
		quiet(p, at(100*many))
		return retained(p)
	}
	require.Less(t, after(placement.LoadFailed)-after(placement.LoadDone), many/2)
}

// TestTagsOfCustomersLongGoneAreForgotten lets the virtual time of the class pass the tags of customers who come once.
func TestTagsOfCustomersLongGoneAreForgotten(t *testing.T) {
	q := queue.New(false)
	class := fleet.Class{Name: "c"}
	serve := func(r fleet.Request) {
		q.Push(begin, r, class, 0)
		w, ok := q.Find(r.ID)
		require.True(t, ok)
		q.Dispatch(w)
	}
	for i := range many {
		r := request(fmt.Sprint("q", i), "a")
		r.Caller = fmt.Sprint("customer", i)
		serve(r)
	}
	for i := range many {
		serve(request(fmt.Sprint("later", i), "a"))
	}
	require.Zero(t, q.Len())
	require.Less(t, retained(q), many/2, "virtual time has passed every tag")
}

// TestTagsOfCustomersWhoComeOnceAreForgotten has no virtual time pass, since each customer is the first to start.
func TestTagsOfCustomersWhoComeOnceAreForgotten(t *testing.T) {
	o := placement.DefaultOptions()
	require.Less(t, retained(served(t, many, o))-retained(served(t, 1, o)), many/2)
}

// TestClassesThatAreNamedOnceAreForgotten uses a class of its own for each request, since callers name classes freely.
func TestClassesThatAreNamedOnceAreForgotten(t *testing.T) {
	after := func(classes int) int {
		p := newPlacer(endpoint(1))
		for i := range many {
			r := request(fmt.Sprint("q", i), "a")
			r.Class = fmt.Sprint("class", i%classes)
			p.Submit(at(i), r)
		}
		p.RefuseAll(at(many), fleet.ReasonStopping, 0)
		quiet(p, at(many))
		return retained(p)
	}
	require.Less(t, after(many)-after(1), many/2)
}

// TestForgettingDoesNotDependOnTheNumberOfGrants has 255 grants between two sweeps, so that ticket names and sweeps together
// are never a multiple of 256 at a sweep.
func TestForgettingDoesNotDependOnTheNumberOfGrants(t *testing.T) {
	const grantsBetween, fade = 255, 12 * time.Hour
	p := newPlacer(endpoint(2))
	p.Inspected(at(2), list(1, ref("a")))
	p.Submit(at(3), request("once", "b"))
	p.Cancel(at(3), "once")
	before := retained(p)
	now := begin.Add(fade)
	for range 1024 {
		now = now.Add(time.Second)
		p.Tick(now)
		for range grantsBetween {
			granted := only[placement.Grant](p.Submit(now, request("q", "a")))
			require.Len(t, granted, 1)
			p.Return(now, granted[0].Ticket.ID)
		}
	}
	require.Less(t, retained(p), before+2, "b is forgotten, a has come")
}

// TestBasesOfAdaptersLongGoneAreForgotten compares adapters that were asked for once with one that was asked for as often.
func TestBasesOfAdaptersLongGoneAreForgotten(t *testing.T) {
	after := func(adapters int) int {
		p := newPlacer(endpoint(1))
		for i := range many {
			id := fmt.Sprint("q", i)
			p.Submit(at(i), request(id, fmt.Sprint("a", i%adapters)))
			p.Cancel(at(i), id)
		}
		quiet(p, at(many))
		return retained(p)
	}
	require.Less(t, after(many)-after(1), many/2)
}

// TestBaseOfAnAdapterThatIsWaitedForIsKept lets an adapter's rate fade while one request still waits for it.
func TestBaseOfAnAdapterThatIsWaitedForIsKept(t *testing.T) {
	p := newPlacer(endpoint(1))
	p.SetPreload([]fleet.AdapterRef{ref("preloaded")}, func(fleet.AdapterRef) string { return "base" })
	p.Submit(at(1), request("q1", "a"))
	quiet(p, at(2))
	now := at(2).Add(24 * time.Hour)
	require.Equal(t, ref("a"), load(t, p, now).Adapter)
	p.Cancel(now, "q1")
	p.Loaded(now, "e1", "e1-1", ref("a"), placement.LoadDone, "")
	require.Equal(t, ref("preloaded"), load(t, p, now).Adapter)
}
