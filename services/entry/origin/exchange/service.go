// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

// maxInstances bounds the list of instances. A higher value spreads the records over more instances, a lower one chooses faster.
const maxInstances = 32

// Service knows where streams began.
type Service struct {
	options Options
	// wake wakes the teller, stopped ends the goroutines.
	wake    chan struct{}
	stopped chan struct{}
	running sync.WaitGroup

	// settled is closed once this instance knows the others.
	settled    chan struct{}
	settleOnce sync.Once

	// context ends with the service.
	context context.Context
	cancel  context.CancelFunc

	writer archiveWriter
	uses   useWriter
	// toldUses are what others could not state in the archive.
	toldUses toldUses
	// formerBuilds are the instances that state no uses.
	formerBuilds formerBuilds
	reader       archiveReader

	mutex sync.Mutex
	// startedAt is when the service was started, complete is set once the archive has been read since the observation of the endpoints began.
	startedAt time.Time
	complete  bool
	transport Transport
	online    bool
	// observing is set while this instance learns of changes of the endpoints, observedSince is since when. interrupted is set while it has
	// observed them and cannot at present.
	observing     bool
	observedSince time.Time
	interrupted   bool
	table         *origin.Table
	history       *origin.History
	instances     []origin.Instance
	// lostUntil is until when a stream may be taken up that an instance began which has left the list.
	lostUntil time.Time
	holders   *origin.Holders
	// shared has the services that share a route with another one.
	shared     map[string]bool
	standstill standstill
	// routes are the routes whose streams can be taken up, and their changes.
	routes routeChanges
	// told has the services whose streams are told: those of several softwares, and the shared ones.
	told map[string]bool
	// pending are the streams whose holders are told next.
	pending []origin.Key
	// backlog are older streams whose holders are told when nothing is pending. Those that backlogHolders chose have been told already; nil
	// if none has been.
	backlog        []origin.Key
	backlogHolders *origin.Holders
	// askedAgain are the instances of the list that have been asked for their records, since this one writes into the archive.
	askedAgain []origin.Instance
	// held are streams of other instances that are told next to one that writes into the archive and has asked for them.
	held []heldStream
	// announced are services with several softwares that the other instances are to be told of.
	announced []string
	inquiries map[uint64]*inquiry
	counters  Counters
}

// New returns a service that knows nothing yet.
func New(options Options) *Service {
	if options.Listen == nil {
		options.Listen = listenUDP
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{
		context: ctx, cancel: cancel, writer: newArchiveWriter(), reader: newArchiveReader(), uses: newUseWriter(),
		toldUses: toldUses{until: make(map[origin.Use]time.Time)}, formerBuilds: newFormerBuilds(),
		options: options, wake: make(chan struct{}, 1), stopped: make(chan struct{}), settled: make(chan struct{}),
		table: origin.NewTable(), history: origin.NewHistory(), holders: origin.NewHolders(origin.Instance{}, nil),
		routes: routeChanges{former: make(map[string]map[string]time.Time)},
		shared: make(map[string]bool), told: make(map[string]bool), inquiries: make(map[uint64]*inquiry),
	}
}

// Start opens the transport and starts the goroutines. After an error the service goes on without other instances.
func (s *Service) Start() error {
	s.mutex.Lock()
	s.startedAt = s.options.Now()
	s.mutex.Unlock()
	s.running.Go(s.runTeller)
	s.running.Go(s.runStandstillCheck)
	if s.options.Archive != nil {
		s.running.Go(s.runArchiveReader)
		s.running.Go(s.runArchiveWriter)
	}
	if !s.options.Address.IsValid() {
		s.settle()
		return nil
	}
	transport, err := s.options.Listen(s.options.Address)
	if err != nil {
		s.settle()
		return err
	}
	s.mutex.Lock()
	s.transport, s.online = transport, true
	s.mutex.Unlock()
	s.running.Go(s.runReceiver)
	s.running.Go(s.runBuildCheck)
	return nil
}

// Close ends the goroutines and the calls of Find. It may be called once.
func (s *Service) Close() {
	close(s.stopped)
	s.cancel()
	s.mutex.Lock()
	online, transport := s.online, s.transport
	s.online = false
	s.mutex.Unlock()
	if online {
		if err := transport.Close(); err != nil {
			s.options.Log.WithError(err).Debug("the socket for origins of streams was not closed properly")
		}
	}
	s.running.Wait()
}

// settle records that this instance knows the others.
func (s *Service) settle() {
	s.settleOnce.Do(func() { close(s.settled) })
}

// SetInstances sets the instances that can be told and asked, this one included. Streams whose holders change by it are told again.
func (s *Service) SetInstances(list []origin.Instance) {
	list = slices.Clone(list[:min(len(list), maxInstances)])
	now := s.options.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if slices.Equal(list, s.instances) {
		return
	}
	if len(s.instances) == 0 && len(list) > 0 {
		time.AfterFunc(settleTime, s.settle)
	}
	s.formerBuilds.setList(now, list)
	former := s.holders
	if slices.ContainsFunc(s.instances, func(instance origin.Instance) bool { return !slices.Contains(list, instance) }) {
		s.lostUntil = now.Add(origin.MaxLifetime)
	}
	s.instances = list
	s.holders = origin.NewHolders(origin.Instance{Hall: s.options.Hall, Address: s.options.Address}, list)
	s.tellAgain(now, former)
	s.writer.request()
}

// ObserveEndpoints records which softwares serve at present, ready or draining, by service. An empty software is one that an endpoint did
// not state.
func (s *Service) ObserveEndpoints(now time.Time, softwares map[string][]string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history.Observe(now, softwares)
	for service := range softwares {
		if !s.told[service] && s.history.HasSeveral(now, service) && s.statesSoftwares(now) {
			s.announced = append(s.announced, service)
		}
		s.reviewTold(now, service)
	}
	if !s.observing {
		s.observing, s.observedSince, s.interrupted, s.complete = true, now, false, false
		s.reader.request(now)
	}
	s.writer.request()
}

// InterruptObservation records that this instance cannot learn of changes at present, until the next call of ObserveEndpoints. Until then it tells
// where all streams begin: softwares that it does not see may serve as well.
func (s *Service) InterruptObservation() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history.Interrupt()
	s.observing, s.interrupted, s.complete = false, true, false
	now := s.options.Now()
	for _, service := range s.history.Services() {
		s.reviewTold(now, service)
	}
}

// knowsAll reports whether this instance has read which softwares served before it started, and has observed them since.
func (s *Service) knowsAll() bool {
	return s.complete && s.observing
}

// SetSharedServices sets the services that share a route with another service, so that a stream may have begun at either.
func (s *Service) SetSharedServices(now time.Time, services []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	clear(s.shared)
	for _, service := range services {
		s.shared[service] = true
		s.reviewTold(now, service)
	}
}

// Expect records that this instance sends a stream that has no event yet to an endpoint, so that others are told before the first event comes. The
// stream may then be sent to no endpoint of another origin: what others were told counts, even if this instance is lost. It does not block.
func (s *Service) Expect(now time.Time, key origin.Key, expected origin.Origin, until time.Time) {
	s.record(now, origin.Record{Key: key, Origin: expected, Until: until, Own: true, Expected: true})
}

// Begin records that this instance forwards the first event of a stream, which can be taken up until a time. It does not block.
func (s *Service) Begin(now time.Time, key origin.Key, began origin.Origin, until time.Time) {
	s.record(now, origin.Record{Key: key, Origin: began, Until: until, Own: true})
}

// record adds a record of this instance's own, and tells others if it is news to them.
func (s *Service) record(now time.Time, added origin.Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	former, exists := s.table.Get(now, added.Key)
	s.table.Add(now, added)
	s.learn(now, origin.Sighting{Origin: added.Origin})
	isNews := !exists || former.Ambiguous || former.Origin != added.Origin
	if s.told[added.Origin.Service] && isNews {
		s.addPending(added.Key)
	}
}

// isTold reports whether the streams of a service are told at present.
func (s *Service) isTold(now time.Time, service string) bool {
	return s.interrupted || s.isShared(now, service) || s.history.HasSeveral(now, service)
}

// reviewTold tells all streams of a service once that is needed.
func (s *Service) reviewTold(now time.Time, service string) {
	if s.told[service] || !s.isTold(now, service) {
		return
	}
	s.told[service] = true
	s.tellAgain(now, nil)
}

// learn records what another instance has seen.
func (s *Service) learn(now time.Time, learned origin.Sighting) {
	s.history.Learn(now, learned)
	s.reviewTold(now, learned.Origin.Service)
}

// sweep removes what has expired.
func (s *Service) sweep(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Sweep(now)
	s.history.Sweep(now)
	s.toldUses.sweep(now)
	s.routes.sweep(now)
	s.uses.sweep(now)
	for service := range s.told {
		if !s.isTold(now, service) {
			delete(s.told, service)
		}
	}
}

// send sends a datagram and counts it.
func (s *Service) send(to netip.AddrPort, payload []byte) bool {
	s.mutex.Lock()
	transport, online := s.transport, s.online
	s.mutex.Unlock()
	if !online {
		return false
	}
	err := transport.Send(to, payload)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		// The instance counts as silent, as if the datagram had been lost.
		s.counters.SendErrors++
		return false
	}
	s.counters.SentBytes += uint64(len(payload))
	return true
}
