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
	"github.com/shelfledge/shelfledge/services/entry/coordinator/evidence"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/forecast"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/leasestore"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/loop"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/recall"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/report"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/seed"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/waiting"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/lease"
	"github.com/shelfledge/shelfledge/services/entry/retry"
	"github.com/shelfledge/shelfledge/services/quarantine"
)

const (
	// tickInterval is the interval between two checks of time-dependent decisions. A shorter interval makes these
	// decisions earlier and costs more processor time.
	tickInterval = 25 * time.Millisecond
	// sweepInterval is the interval between two removals of outdated state.
	sweepInterval = time.Second
	// peerQueueWarningBytes is the total size of queued peer messages above which a warning is logged: an eighth of the
	// 184 MB of memory of the smallest instance.
	peerQueueWarningBytes = 23 << 20
)

// Coordinator implements the control part of one entry process.
type Coordinator struct {
	options     Options
	environment Environment
	loop        *loop.Loop
	// leases is used only by the goroutine of holdLease and by Release. seeds may be used by any goroutine.
	leases *leasestore.Store
	// evidenceStore is used by one goroutine at a time, see evidenceKeeper.
	evidenceStore *evidence.Store
	seeds         *seed.Requester
	context       context.Context
	cancel        context.CancelFunc
	tasks         sync.WaitGroup

	current atomic.Pointer[deployment.Configuration]
	ready   atomic.Bool
	leaving atomic.Bool
	// limitedEndpoints is the number of endpoints with a request limit. Goroutines other than the control goroutine read it.
	limitedEndpoints atomic.Int64
	// brittle is what is known about brittle endpoints. brittleServices is the number of their services; goroutines other than the control
	// goroutine read it.
	brittle         brittleness
	brittleServices atomic.Int64

	// The fields below are used by the control goroutine only.
	directory       *directory.Directory
	endpointsKnown  bool
	endpointsReadAt time.Time
	// endpointsReadRevision is the store revision at which this instance has read all endpoints. It is 0 once this
	// instance has received copies from anything but the store: copiesFromPeers is true from the first copies that came
	// from a planner, a seed or a plan of its own.
	endpointsReadRevision int64
	copiesFromPeers       bool
	// describedRevision is the store revision up to which this instance has every endpoint's description, from any source.
	// It is 0 if descriptions are missing.
	describedRevision int64
	keys              *follow.Keys
	keysCompleteness  follow.Completeness
	versions          *follow.Versions
	pendingStarts     *recall.Requests
	budget            *retry.Budget
	crashes           *quarantine.Table
	// parts holds the crashes under requests by the parts of their prompts.
	parts *quarantine.Table
	// quarantined and quarantinedParts hold the requests and the parts of prompts that were quarantined at the last review.
	quarantined, quarantinedParts map[fingerprint.Fingerprint]quarantine.Hold
	evidence                      evidenceKeeper
	waiters                       waiting.Queue[acquireResult]
	// suspects holds the requests that wait for the decision whether they may be sent although endpoints ended under them. They are not
	// in waiters, since no adapter is to be loaded for them.
	suspects       waiting.Queue[acquireResult]
	demand         *report.Counter
	reportSchedule report.Schedule
	forecasts      *forecast.Announcements
	sweptAt        time.Time
	// missing are copies that endpoints did not hold although they were listed, for the next report.
	missing []wire.Copy
	// recalled are copies on which requests have not begun in time, for the reports.
	recalled       []recalledCopy
	follower       follower
	planner        *planner
	gathering      gathering
	endpointLimits endpointLimits
	// announcedDraining holds the endpoints that announced in a response, to this instance or to another one, that they
	// are draining.
	announcedDraining map[deployment.EndpointID]bool
	seedAnswer        seedAnswer
	// othersInFlightAt is the mean time at which the known in-flight requests of the other instances were counted. It is
	// zero if no counts are known.
	othersInFlightAt time.Time
	// lastPlannerLoads holds the most recently received load count of a planner.
	lastPlannerLoads formerLoads
	// keysLag measures for how long this instance has lacked keys that the planner has.
	keysLag member.Lag
	// knownRecord is the planner's lease record as last read or received.
	knownRecord lease.Record
	// highestTerm is the highest term that is known to have been in use.
	highestTerm int64
	// storeEra is the era of the store, as noticed by reviewEra.
	storeEra int64
	// storeReadAt is the time of the last successful read of the lease record.
	storeReadAt time.Time
	// storeFailingSince is the time since which reads of the lease record have failed. It is zero after a successful read.
	storeFailingSince time.Time
	// cancelLongWatch cancels the running long watch of the configuration. It is nil if the running watch is a short one.
	cancelLongWatch context.CancelFunc
	// cutOffSince is the time since which this instance reaches no endpoint over its own links. It is zero if it reaches any.
	cutOffSince time.Time
	// tunnels are the instances through which endpoints can be reached, as last passed to ObserveTunnels.
	tunnels []wire.Tunnel
	// observedSoftware is what was last passed to ObserveSoftware.
	observedSoftware softwareObservation
	// recordReadRequested reports whether the lease record is to be read without delay.
	recordReadRequested bool
	// deferredRecordReadAt is the time at which a deferred read of the lease record is due. It is zero if none is
	// deferred.
	deferredRecordReadAt time.Time
}

// New returns a coordinator that does nothing until Start is called.
func New(options Options, environment Environment) *Coordinator {
	if options.TimerNow == nil {
		options.TimerNow = options.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Coordinator{
		options:           options,
		environment:       environment,
		loop:              loop.New(options.Now),
		context:           ctx,
		cancel:            cancel,
		directory:         directory.New(),
		keys:              follow.NewKeys(),
		versions:          follow.NewVersions(),
		pendingStarts:     recall.NewRequests(),
		budget:            retry.NewBudget(options.Retry, options.Now()),
		crashes:           quarantine.NewSharedTable(options.Instance),
		parts:             quarantine.NewPartTable(options.Instance),
		demand:            report.NewCounter(),
		forecasts:         forecast.NewAnnouncements(),
		gathering:         newGathering(),
		endpointLimits:    newEndpointLimits(),
		brittle:           newBrittleness(),
		announcedDraining: make(map[deployment.EndpointID]bool),
	}
	c.loop.ObserveWait = options.ObserveControlWait
	c.leases = &leasestore.Store{
		Client: environment.Store, Instance: options.Instance, Address: options.PeerAddress,
		Timeout: options.StoreTimeout, Now: options.Now, Failed: c.recordStoreFailure,
	}
	c.evidenceStore = &evidence.Store{Client: environment.Store, Timeout: evidenceReadTimeout}
	c.seeds = &seed.Requester{
		Instance: options.Instance, Own: options.PeerAddress, Seeds: options.Seeds, Dial: environment.Dial, Now: options.Now,
	}
	return c
}

// Start begins to read the store and to accept peers, and follows the planner or becomes the planner.
func (c *Coordinator) Start() error {
	listener, err := c.environment.Listen(c.options.PeerAddress)
	if err != nil {
		return err
	}
	c.startTask(func() { c.loop.Run(c.context.Done(), tickInterval, c.tick) })
	c.startTask(func() { c.servePeers(listener) })
	c.startTask(c.followConfiguration)
	c.startTask(c.readVersions)
	c.loop.Post(c.keepEvidence)
	c.startTask(c.followEndpoints)
	c.startTask(c.followPlanner)
	c.startTask(c.followGatherer)
	c.startTask(c.holdLease)
	return nil
}

func (c *Coordinator) startTask(task func()) {
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		task()
	}()
}

// Stop cancels all work at once and waits until its goroutines have ended.
func (c *Coordinator) Stop() {
	c.cancel()
	c.tasks.Wait()
}

// Configuration returns the configuration in force, or nil before the first one is known.
func (c *Coordinator) Configuration() *deployment.Configuration {
	return c.current.Load()
}

// Ready reports whether this instance has the state that it needs to accept requests and is not leaving.
func (c *Coordinator) Ready() bool {
	return c.ready.Load() && !c.leaving.Load()
}

func (c *Coordinator) tick(now time.Time) {
	c.reviewEra(now)
	c.observeSoftware(now)
	c.recallOverdue(now)
	c.reviewLimits(now)
	c.reviewSuspects(now)
	c.reviewWaiters(now)
	c.publishCrashes(now)
	c.keepEvidence(now)
	c.cancelUnreliableWatch(now)
	c.requestDeferredRecordRead(now)
	if c.planner != nil {
		c.resignIfMemberReachesStore(now)
		c.handOverIfCutOff(now)
		c.plan(now)
	}
	c.sendDueLoads(now)
	if c.reportSchedule.Due(now, c.follower.Members) {
		c.sendReport(now)
	}
	if now.Sub(c.sweptAt) >= sweepInterval {
		c.sweep(now)
	}
}

// stretchForFleet returns a pause that is longer the more instances there are.
func (c *Coordinator) stretchForFleet(pause time.Duration) time.Duration {
	return report.Stretch(pause, c.follower.Members)
}

// requestReport sends a report at once, or as soon as the minimum interval since the last report has passed.
func (c *Coordinator) requestReport(now time.Time) {
	if c.reportSchedule.Request(now, c.follower.Members) {
		c.sendReport(now)
	}
}

// sweep removes outdated state.
func (c *Coordinator) sweep(now time.Time) {
	c.sweptAt = now
	c.directory.UpdateHeld(now)
	c.demand.Sweep(now)
	c.pendingStarts.Sweep(now)
	c.reviewCrashes(now)
	if now.Sub(c.seedAnswer.at) >= seedAnswerTTL {
		c.seedAnswer = seedAnswer{}
	}
	if queued := c.peerQueueBytes(); queued > peerQueueWarningBytes {
		c.options.Log.WithField("queued_bytes", queued).Warn("more bytes are queued for peers than the warning limit")
	}
	if c.planner != nil {
		c.planner.plans.Sweep(now)
	}
}

// updateReady marks this instance as ready once the configuration and the endpoints are known, and the store was asked which requests end
// endpoints. It never becomes unready again.
func (c *Coordinator) updateReady() {
	if !c.ready.Load() && c.current.Load() != nil && c.endpointsKnown && c.evidence.asked {
		c.ready.Store(true)
		c.options.Log.WithFields(map[string]any{
			"configuration": c.current.Load().Version, "endpoints": c.directory.Size(),
		}).Info("ready for requests")
	}
}

// markCopiesFromPeers records that this instance has copies that did not come from the store.
func (c *Coordinator) markCopiesFromPeers() {
	c.copiesFromPeers, c.endpointsReadRevision = true, 0
}

// sleep waits for the given time or until the coordinator stops.
func (c *Coordinator) sleep(span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.context.Done():
	}
}

// recordStoreFailure logs and counts a failed call to the store.
func (c *Coordinator) recordStoreFailure(call string, err error) {
	if c.context.Err() != nil {
		return
	}
	if c.options.ObserveStoreFailure != nil {
		c.options.ObserveStoreFailure(call)
	}
	c.options.Log.WithError(err).WithField("call", call).Warn("a call to the store failed")
}

// minJitter is the smallest factor that jitter applies to a pause. The largest factor is greater by 1.
const minJitter = 0.5

// jitter randomizes a pause, so that instances that failed at the same time do not retry at the same time.
func (c *Coordinator) jitter(span time.Duration) time.Duration {
	return time.Duration(float64(span) * (minJitter + c.options.Random()))
}
