// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/fingerprint"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/forecast"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/leasestore"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/loop"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/report"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/seed"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/unbegun"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/waiting"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/lease"
	"github.com/shelfledge/shelfledge/services/entry/retry"
	"github.com/shelfledge/shelfledge/services/quarantine"
)

const (
	// tickPace is the pause between two looks at time-bound decisions: shorter trades processor time for earlier ones.
	tickPace = 25 * time.Millisecond
	// sweepPace is the pause between two sweeps of old state.
	sweepPace = time.Second
	// queueWarning is how many bytes may wait for peers before a line says so: an eighth of the smallest instance's 184 MB.
	queueWarning = 23 << 20
)

// Coordinator is the control part of one process.
type Coordinator struct {
	options     Options
	environment Environment
	loop        *loop.Loop
	// leases is used by the goroutines of holdLease and Release only; seeds may be asked by any.
	leases  *leasestore.Store
	seeds   *seed.Asker
	context context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	current atomic.Pointer[deployment.Configuration]
	ready   atomic.Bool
	leaving atomic.Bool
	// suspects is the number of records of crashes, limited that of endpoints with a limit, for other goroutines.
	suspects atomic.Int64
	limited  atomic.Int64

	// The fields below are used by the control goroutine only.
	directory       *directory.Directory
	endpointsKnown  bool
	endpointsReadAt time.Time
	// readUpTo is the store's revision as of which this instance has read all endpoints, for as long as it knows copies from the store
	// alone; 0 otherwise. toldOfCopies ends that: a planner, a seed or an own plan told of copies.
	readUpTo     int64
	toldOfCopies bool
	// describedUpTo is the store's revision up to which this instance knows each endpoint's description, by whomever; 0 if it does not.
	describedUpTo int64
	keys          *follow.Keys
	complete      follow.Completeness
	versions      *follow.Versions
	unbegun       *unbegun.Requests
	budget        *retry.Budget
	crashes       *quarantine.Table
	// holding are the requests that were held back at the last look.
	holding   map[fingerprint.Fingerprint]quarantine.Hold
	waiters   waiting.Queue[acquired]
	demand    *report.Counter
	reports   report.Schedule
	forecasts *forecast.Book
	sweptAt   time.Time
	missing   []wire.Copy
	following following
	planning  *planning
	gathering gathering
	limits    limits
	// saidLeaving are the endpoints that said in answers that they leave, to this instance or to another.
	saidLeaving map[deployment.EndpointID]bool
	seedAnswer  seedAnswer
	// othersAsOf is when the other instances' requests in flight were as this instance knows them, on the mean; zero if it knows none.
	othersAsOf time.Time
	// heardLoads is what was last heard of a planner's loads.
	heardLoads formerLoads
	// keysLag is for how long this instance has lacked keys that the planner has.
	keysLag member.Lag
	// knownRecord is the planner's record as last read.
	knownRecord lease.Record
	// storeReadAt is when the store last answered a read of the record.
	storeReadAt time.Time
	// storeSilentSince is since when the store has failed the looks at the record; zero once it answers one.
	storeSilentSince time.Time
	// endLongWatch ends the waiting watch of the configuration; nil if it is a short one.
	endLongWatch context.CancelFunc
	// lookDue asks for a look at the record without delay.
	lookDue bool
	// lookAt is when a look that was put off is due; zero if none was.
	lookAt time.Time
}

// New makes a coordinator; Start begins its work.
func New(options Options, environment Environment) *Coordinator {
	if options.TimerNow == nil {
		options.TimerNow = options.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Coordinator{
		options:     options,
		environment: environment,
		loop:        loop.New(options.Now),
		context:     ctx,
		cancel:      cancel,
		directory:   directory.New(),
		keys:        follow.NewKeys(),
		versions:    follow.NewVersions(),
		unbegun:     unbegun.NewRequests(),
		budget:      retry.NewBudget(options.Retry, options.Now()),
		crashes:     quarantine.NewTable(),
		demand:      report.NewCounter(),
		forecasts:   forecast.NewBook(),
		gathering:   newGathering(),
		limits:      newLimits(),
		saidLeaving: make(map[deployment.EndpointID]bool),
	}
	c.leases = &leasestore.Store{
		Client: environment.Store, Instance: options.Instance, Address: options.PeerAddress,
		Timeout: options.StoreTimeout, Now: options.Now, Failed: c.noteStore,
	}
	c.seeds = &seed.Asker{
		Instance: options.Instance, Own: options.PeerAddress, Seeds: options.Seeds, Dial: environment.Dial, Now: options.Now,
	}
	return c
}

// Start begins to read the store, to listen to peers and to follow or become the planner.
func (c *Coordinator) Start() error {
	listener, err := c.environment.Listen(c.options.PeerAddress)
	if err != nil {
		return err
	}
	c.run(func() { c.loop.Run(c.context.Done(), tickPace, c.tick) })
	c.run(func() { c.servePeers(listener) })
	c.run(c.followConfiguration)
	c.run(c.followEndpoints)
	c.run(c.followPlanner)
	c.run(c.followGatherer)
	c.run(c.holdLease)
	return nil
}

func (c *Coordinator) run(task func()) {
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		task()
	}()
}

// Stop ends all work at once.
func (c *Coordinator) Stop() {
	c.cancel()
	c.tasks.Wait()
}

// Configuration gives the configuration in force, or nil before the first one is known.
func (c *Coordinator) Configuration() *deployment.Configuration {
	return c.current.Load()
}

// Ready tells whether this instance knows enough to take requests.
func (c *Coordinator) Ready() bool {
	return c.ready.Load() && !c.leaving.Load()
}

func (c *Coordinator) tick(now time.Time) {
	c.takeBackLate(now)
	c.reviewLimits(now)
	c.reviewWaiters(now)
	c.checkWatch(now)
	c.lookIfStillDue(now)
	if c.planning != nil {
		c.resignIfOthersCan(now)
		c.plan(now)
	}
	c.tellLoads(now)
	if c.reports.Due(now, c.following.Members) {
		c.sendReport(now)
	}
	if now.Sub(c.sweptAt) >= sweepPace {
		c.sweep(now)
	}
}

// pace stretches a pause with the number of instances.
func (c *Coordinator) pace(pause time.Duration) time.Duration {
	return report.Stretch(pause, c.following.Members)
}

// reportSoon asks for a report without delay, as far as the last one is not too recent.
func (c *Coordinator) reportSoon(now time.Time) {
	if c.reports.Ask(now, c.following.Members) {
		c.sendReport(now)
	}
}

// sweep forgets what is too old to matter.
func (c *Coordinator) sweep(now time.Time) {
	c.sweptAt = now
	c.directory.UpdateHeld(now)
	c.demand.Sweep(now)
	c.reviewCrashes(now)
	if now.Sub(c.seedAnswer.at) >= seedAnswerLife {
		c.seedAnswer = seedAnswer{}
	}
	if queued := c.peerQueueBytes(); queued > queueWarning {
		c.options.Log.WithField("queued_bytes", queued).Warn("much waits for peers")
	}
	if c.planning != nil {
		c.planning.plans.Sweep(now)
	}
}

// updateReady says ready once configuration and endpoints are known; it stays so.
func (c *Coordinator) updateReady() {
	if !c.ready.Load() && c.current.Load() != nil && c.endpointsKnown {
		c.ready.Store(true)
		c.options.Log.WithFields(map[string]any{
			"configuration": c.current.Load().Version, "endpoints": c.directory.Size(),
		}).Info("ready for requests")
	}
}

// noteCopiesTold notes that this instance knows copies from others than the store.
func (c *Coordinator) noteCopiesTold() {
	c.toldOfCopies, c.readUpTo = true, 0
}

// sleep waits for a span, or until the coordinator stops.
func (c *Coordinator) sleep(span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.context.Done():
	}
}

// noteStore logs and counts a failed call to the store.
func (c *Coordinator) noteStore(call string, err error) {
	if c.context.Err() != nil {
		return
	}
	if c.options.ObserveStoreFailure != nil {
		c.options.ObserveStoreFailure(call)
	}
	c.options.Log.WithError(err).WithField("call", call).Warn("the store did not answer as it should")
}

// leastJitter is the least part of a span that a jittered pause takes; the most is one span more.
const leastJitter = 0.5

// jitter spreads a pause, so that instances that fail together do not call together again.
func (c *Coordinator) jitter(span time.Duration) time.Duration {
	return time.Duration(float64(span) * (leastJitter + c.options.Random()))
}
