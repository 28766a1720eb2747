// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

// simEngine has room for one base model and two adapters, so that an error of one place is detected.
var simEngine = deployment.Engine{
	Slots: 8, WeightsMB: 1000, AdapterCapacity: 2, LoadsPerSecond: 3,
	Models: []deployment.Model{{Name: "base", WeightsMB: 900, AdapterMB: 10}, {Name: "other", WeightsMB: 800, AdapterMB: 10}},
}

const (
	// undisturbedSteps is the number of initial steps without disturbances; simSteps is the number of all steps.
	undisturbedSteps = 1
	simSteps         = 36
	// simEndpointCount and simAdapterCount are the numbers of endpoints and adapters in a simulation.
	simEndpointCount = 2
	simAdapterCount  = 3
	// demandSteps is the number of steps for which requests wait for the same adapter.
	demandSteps = 4
	// hotAdapterRate is the request rate of the first adapter, in requests a second. It is high enough that the
	// adapter's copies are not evicted.
	hotAdapterRate = 2.0
	// requestTime is how long a request uses its adapter.
	requestTime = 400 * time.Millisecond
	// orderTime is the time-out of an order without a reply.
	orderTime = 250 * time.Millisecond
	// descriptionInterval is the minimum time between two descriptions of an endpoint.
	descriptionInterval = 300 * time.Millisecond
)

// The pauses between steps, the ages of reports and the delays of descriptions; the first of each is the undisturbed
// case.
var (
	stepPauses    = []time.Duration{300 * time.Millisecond, 20 * time.Millisecond, 4 * time.Second}
	reportAges    = []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second}
	storeDelays   = []time.Duration{0, time.Second, 5 * time.Second}
	lateDelays    = []time.Duration{time.Second, 5 * time.Second}
	endpointNames = []string{"x", "y"}
)

// chooser makes the choices of a simulation: first from a script, then at random if random is set, else the
// undisturbed choice 0.
type chooser struct {
	script []int
	random *rand.Rand
	// share is the share of random choices that are disturbances.
	share float64
	// choices holds the choices made; alternatives holds the number of alternatives of each.
	choices, alternatives []int
}

func (c *chooser) choose(alternatives int) int {
	chosen := 0
	switch position := len(c.choices); {
	case position < len(c.script):
		chosen = min(c.script[position], alternatives-1)
	case c.random != nil && c.random.Float64() < c.share:
		chosen = 1 + c.random.IntN(alternatives-1)
	}
	c.choices = append(c.choices, chosen)
	c.alternatives = append(c.alternatives, alternatives)
	return chosen
}

// delayedEvent is a message in transit or another event that is due later.
type delayedEvent struct {
	dueAt   time.Time
	deliver func()
}

// storeEntry is an endpoint's entry in the store.
type storeEntry struct {
	endpoint deployment.Endpoint
	revision int64
}

// simulation runs planners against simulated endpoints, including the store and the messages between them.
type simulation struct {
	*chooser
	variant   protocolVariant
	now       time.Time
	step      int
	planner   *loading.Planner
	term      int
	endpoints []*simEndpoint
	store     map[deployment.EndpointID]storeEntry
	events    []delayedEvent
	revision  int64
	restarts  int
	// lastDescriptions holds the last description of each endpoint and its time.
	lastDescriptions map[deployment.EndpointID]reportSnapshot
	trace            []string
	traced           bool
	// undisturbed suppresses all disturbances.
	undisturbed bool
}

func newSimulation(variant protocolVariant, choices *chooser) *simulation {
	s := &simulation{chooser: choices, variant: variant, now: start, store: make(map[deployment.EndpointID]storeEntry), lastDescriptions: make(map[deployment.EndpointID]reportSnapshot)}
	for i := range simEndpointCount {
		s.endpoints = append(s.endpoints, newSimEndpoint(s.now, deployment.EndpointID(endpointNames[i]), variant, simEngine, "base"))
	}
	s.startPlanner()
	return s
}

func (s *simulation) choose(alternatives int) int {
	if s.undisturbed {
		return 0
	}
	return s.chooser.choose(alternatives)
}

func (s *simulation) tracef(format string, args ...any) {
	if s.traced {
		s.trace = append(s.trace, fmt.Sprintf("%6.3f ", s.now.Sub(start).Seconds())+fmt.Sprintf(format, args...))
	}
}

// startPlanner starts a planner that reads the store's entries.
func (s *simulation) startPlanner() {
	s.term++
	s.tracef("planner %d starts", s.term)
	s.planner = loading.NewPlanner(simEngine, loading.Options{
		Rate: rate, Random: func() float64 { return 0 },
		Uses: func(id deployment.EndpointID, adapter deployment.Adapter) int { return s.uses(id, adapter) },
	})
	if s.term%2 == 1 {
		// The weight store's rate limit is exhausted, so only cached base models are loaded.
		s.planner.AssumeLoads(s.now, 100)
	}
	s.planner.AddRates(s.now, map[deployment.Adapter]float64{simAdapter(0): hotAdapterRate})
	for _, known := range s.store {
		s.planner.SetEndpoint(s.now, known.endpoint, known.revision, false)
	}
}

func (s *simulation) uses(id deployment.EndpointID, adapter deployment.Adapter) int {
	if e := s.endpoint(id); e != nil {
		return e.uses[adapter]
	}
	return 0
}

func (s *simulation) endpoint(id deployment.EndpointID) *simEndpoint {
	for _, e := range s.endpoints {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (s *simulation) schedule(delay time.Duration, deliver func()) {
	if delay == 0 {
		deliver()
		return
	}
	s.events = append(s.events, delayedEvent{dueAt: s.now.Add(delay), deliver: deliver})
}

// run executes all steps and returns the kinds of violations.
func (s *simulation) run() []string {
	for s.step = range simSteps {
		s.undisturbed = s.step < undisturbedSteps
		s.advance(stepPauses[s.choose(len(stepPauses))])
		s.disturb()
		turn := s.step / demandSteps
		s.reportDemand(simAdapter(turn%simAdapterCount), simAdapter((turn+1)%simAdapterCount))
		s.runPlanner()
	}
	return uniqueViolations(s.violations())
}

// advance advances the time and delivers the events due in the meantime in order.
func (s *simulation) advance(pause time.Duration) {
	end := s.now.Add(pause)
	for {
		next := -1
		for i, event := range s.events {
			if !event.dueAt.After(end) && (next < 0 || event.dueAt.Before(s.events[next].dueAt)) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		event := s.events[next]
		s.events = slices.Delete(s.events, next, next+1)
		s.setTime(event.dueAt)
		event.deliver()
	}
	s.setTime(end)
	for _, e := range s.endpoints {
		s.writeDescription(e)
	}
}

func (s *simulation) setTime(to time.Time) {
	if to.After(s.now) {
		s.now = to
	}
	for _, e := range s.endpoints {
		e.advance(s.now)
	}
}

// disturb replaces the planner, restarts an endpoint or removes its entry.
func (s *simulation) disturb() {
	switch s.choose(4) {
	case 1:
		s.startPlanner()
	case 2:
		s.restart(s.step % simEndpointCount)
	case 3:
		s.removeEntry(s.endpoints[s.step%simEndpointCount])
	}
}

// restart replaces an endpoint by a new one without a base model.
func (s *simulation) restart(place int) {
	old := s.endpoints[place]
	s.restarts++
	fresh := newSimEndpoint(s.now, deployment.EndpointID(fmt.Sprint(endpointNames[place], s.restarts)), s.variant, simEngine)
	fresh.violations = old.violations
	s.tracef("%s restarts as %s", old.id, fresh.id)
	s.endpoints[place] = fresh
	s.schedule(lateDelays[0], func() { s.deleteEntry(old.id) })
	s.writeDescription(fresh)
}

// removeEntry removes an endpoint's entry from the store; the endpoint writes it again a little later.
func (s *simulation) removeEntry(e *simEndpoint) {
	s.tracef("entry of %s removed", e.id)
	s.deleteEntry(e.id)
	delete(s.lastDescriptions, e.id)
}

func (s *simulation) deleteEntry(id deployment.EndpointID) {
	delete(s.store, id)
	s.planner.RemoveEndpoint(id)
}

// writeDescription writes an endpoint's entry if it changed and the last one is at least descriptionInterval old.
func (s *simulation) writeDescription(e *simEndpoint) {
	last, known := s.lastDescriptions[e.id]
	if known && (s.now.Sub(last.at) < descriptionInterval || sameContent(last.report, e.snapshots[len(e.snapshots)-1].report)) {
		return
	}
	state := reportSnapshot{at: s.now, report: e.reportAsOf(s.now)}
	s.lastDescriptions[e.id] = state
	description := deployment.Endpoint{ID: e.id, Service: "s", Models: state.report.Models, Adapters: state.report.Adapters, CachedModels: []string{"other"}}
	s.schedule(storeDelays[s.choose(len(storeDelays))], func() {
		if s.endpoint(e.id) == nil {
			return
		}
		s.revision++
		s.tracef("description of %s as of %.3f: %v %v", e.id, state.at.Sub(start).Seconds(), description.Models, adapterNames(description.Adapters))
		s.store[e.id] = storeEntry{endpoint: description, revision: s.revision}
		s.planner.SetEndpoint(s.now, description, s.revision, false)
	})
}

func sameContent(a, b *loading.Report) bool {
	return slices.Equal(a.Models, b.Models) && slices.Equal(adapterNames(a.Adapters), adapterNames(b.Adapters))
}

func adapterNames(adapters map[deployment.Adapter]int64) []string {
	var list []string
	for adapter := range adapters {
		list = append(list, adapter.Name)
	}
	slices.Sort(list)
	return list
}

func simAdapter(number int) deployment.Adapter {
	return deployment.Adapter{Model: "base", Name: fmt.Sprint("a", number)}
}

// reportDemand lets a request use each adapter where the planner offers it, and reports a waiting request for each
// other adapter.
func (s *simulation) reportDemand(adapters ...deployment.Adapter) {
	var demands []loading.Demand
	for _, adapter := range adapters {
		if !s.serveRequest(adapter) {
			demands = append(demands, loading.Demand{Adapter: adapter, Waiting: 1, InTime: time.Second})
		}
	}
	s.planner.Report(s.now, "i", demands)
}

// serveRequest lets a request use each copy that the planner offers, and reports whether there is one.
func (s *simulation) serveRequest(adapter deployment.Adapter) bool {
	found := false
	for _, e := range s.endpoints {
		if _, offered := s.planner.Offered(e.id); offered[adapter] == 0 {
			continue
		}
		found = true
		if !e.resident[adapter] {
			s.planner.RequestInspection(e.id)
			continue
		}
		if !e.unloading[adapter] && e.uses[adapter] == 0 {
			e.uses[adapter]++
			s.schedule(requestTime, func() { e.uses[adapter]-- })
		}
	}
	return found
}

// runPlanner confirms withdrawals and sends all orders that the planner returns.
func (s *simulation) runPlanner() {
	s.planner.ConfirmUnused(s.now, func(w loading.Withdrawal) bool { return s.uses(w.Endpoint, w.Adapter) == 0 })
	for range 50 {
		order, ok := s.planner.Next(s.now)
		if !ok {
			return
		}
		s.sendOrder(order)
	}
	s.tracef("planner returned 50 orders in a row")
}

// deliverResult passes a result to the planner that sent the order, unless that planner was replaced.
func (s *simulation) deliverResult(term int, order loading.Order, reply loading.Reply, report *loading.Report) {
	if term != s.term {
		return
	}
	s.tracef("%s %s of %s at sequence %d, poll %t: %s", order.Kind, order.Adapter, order.Endpoint.ID, order.ExpectedSequence, order.Poll, reply)
	if report != nil {
		s.tracef("  report: sequence %d, resident %v, pending %v", report.Sequence, adapterNames(report.Adapters), report.Pending)
	}
	s.planner.Done(s.now, loading.Result{Order: order, Reply: reply, Report: report})
}

// sendOrder delivers an order with a chosen disturbance.
func (s *simulation) sendOrder(order loading.Order) {
	term := s.term
	if order.Kind == loading.Inspect {
		s.sendInspection(term, order)
		return
	}
	switch outcome := s.choose(6); outcome {
	case 0:
		s.deliverResult(term, order, s.executeOrder(term, order), nil)
	case 1:
		// Accepted at once, answered later.
		reply := s.executeOrder(term, order)
		s.schedule(orderTime-1, func() { s.deliverResult(term, order, reply, nil) })
	case 2:
		s.executeOrder(term, order)
		s.schedule(orderTime, func() { s.deliverResult(term, order, loading.Unanswered, nil) })
	case 3, 4:
		s.schedule(lateDelays[outcome-3], func() { s.executeOrder(term, order) })
		s.schedule(orderTime, func() { s.deliverResult(term, order, loading.Unanswered, nil) })
	case 5:
		s.schedule(orderTime, func() { s.deliverResult(term, order, loading.NotDelivered, nil) })
	}
}

// executeOrder delivers an order to the endpoint with the order's endpoint ID.
func (s *simulation) executeOrder(term int, order loading.Order) loading.Reply {
	e := s.endpoint(order.Endpoint.ID)
	if e == nil {
		return loading.Rejected
	}
	violations := len(e.violations)
	reply := e.execute(s.now, order, term != s.term)
	for _, violation := range e.violations[violations:] {
		s.tracef("VIOLATION: %s", violation)
	}
	s.tracef("%s receives %s %s at sequence %d, replies %s, now at sequence %d", e.id, order.Kind, order.Adapter, order.ExpectedSequence, reply, e.sequence)
	return reply
}

func (s *simulation) sendInspection(term int, order loading.Order) {
	e := s.endpoint(order.Endpoint.ID)
	outcome := s.choose(len(reportAges) + 2)
	switch {
	case e == nil || outcome == len(reportAges):
		s.schedule(orderTime, func() { s.deliverResult(term, order, loading.NotDelivered, nil) })
	case outcome > len(reportAges):
		// Read now, answered later.
		report := e.reportAsOf(s.now.Add(-reportAges[0]))
		s.schedule(orderTime-1, func() { s.deliverResult(term, order, loading.Inspected, report) })
	default:
		s.deliverResult(term, order, loading.Inspected, e.reportAsOf(s.now.Add(-reportAges[outcome])))
	}
}

// violations returns the violations of the invariant.
func (s *simulation) violations() []string {
	var list []string
	for _, e := range s.endpoints {
		list = append(list, e.violations...)
	}
	return list
}
