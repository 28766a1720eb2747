// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange

import (
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
	// wake wakes the teller, stopped ends both goroutines.
	wake    chan struct{}
	stopped chan struct{}
	running sync.WaitGroup

	// settled is closed once this instance knows the others.
	settled    chan struct{}
	settleOnce sync.Once

	mutex     sync.Mutex
	transport Transport
	online    bool
	table     *origin.Table
	history   *origin.History
	instances []origin.Instance
	holders   *origin.Holders
	// shared has the services that share a route with another one.
	shared map[string]bool
	// told has the services whose streams are told: those of several softwares, and the shared ones.
	told map[string]bool
	// pending are the streams whose holders are told next.
	pending []origin.Key
	// backlog are older streams whose holders are told when nothing is pending. Those that backlogHolders chose have been told already; nil
	// if none has been.
	backlog        []origin.Key
	backlogHolders *origin.Holders
	inquiries      map[uint64]*inquiry
	counters       Counters
}

// New returns a service that knows nothing yet.
func New(options Options) *Service {
	if options.Listen == nil {
		options.Listen = listenUDP
	}
	return &Service{
		options: options, wake: make(chan struct{}, 1), stopped: make(chan struct{}), settled: make(chan struct{}),
		table: origin.NewTable(), history: origin.NewHistory(), holders: origin.NewHolders(origin.Instance{}, nil),
		shared: make(map[string]bool), told: make(map[string]bool), inquiries: make(map[uint64]*inquiry),
	}
}

// Start opens the transport and starts the goroutines. After an error the service goes on without other instances.
func (s *Service) Start() error {
	s.running.Go(s.runTeller)
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
	return nil
}

// Close ends the goroutines and the calls of Find. It may be called once.
func (s *Service) Close() {
	close(s.stopped)
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
	former := s.holders
	s.instances = list
	s.holders = origin.NewHolders(origin.Instance{Hall: s.options.Hall, Address: s.options.Address}, list)
	s.tellAgain(now, former)
}

// ObserveEndpoints records which softwares serve at present, ready or draining, by service. An empty software is one that an endpoint did
// not state.
func (s *Service) ObserveEndpoints(now time.Time, softwares map[string][]string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history.Observe(now, softwares)
	for service := range softwares {
		s.reviewTold(now, service)
	}
}

// InterruptObservation records that this instance cannot learn of changes at present, until the next call of ObserveEndpoints.
func (s *Service) InterruptObservation() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history.Interrupt()
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

// Begin records that this instance forwarded the first event of a stream, which can be taken up until a time. It does not block.
func (s *Service) Begin(now time.Time, key origin.Key, began origin.Origin, until time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Add(now, origin.Record{Key: key, Origin: began, Until: until, Own: true})
	s.learn(now, origin.Sighting{Origin: began})
	if s.online && s.told[began.Service] {
		s.addPending(key)
	}
}

// isTold reports whether the streams of a service are told at present.
func (s *Service) isTold(now time.Time, service string) bool {
	return s.shared[service] || s.history.HasSeveral(now, service)
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
