// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/bytebudget"
	"github.com/shelfledge/shelfledge/modules/daemon/engine"
	"github.com/shelfledge/shelfledge/modules/daemon/instancelist"
	"github.com/shelfledge/shelfledge/modules/daemon/kv"
	"github.com/shelfledge/shelfledge/modules/daemon/metric"
	"github.com/shelfledge/shelfledge/services/daemon/configuration"
	"github.com/shelfledge/shelfledge/services/daemon/journal"
	"github.com/shelfledge/shelfledge/services/daemon/node"
)

// Options are the settings and dependencies of a control service.
type Options struct {
	Node         node.Options
	Seeds        []fleet.Instance
	Dialect      engine.Dialect
	KV           *kv.Client
	Prefix       string
	List         func(ctx context.Context) (instancelist.List, error)
	ListInterval time.Duration
	Send         func(fleet.Envelope)
	Log          *logrus.Entry
	Metrics      *metric.Metrics
	Journal      *journal.Journal
	// Now is the clock of the control goroutine.
	Now func() time.Time
}

// Service is the control state of a daemon with its goroutines.
type Service struct {
	options        Options
	node           *node.Node
	inputs         chan input
	receiveBudget  *bytebudget.Budget
	answerChannels map[string]chan Answer
	inspecting     map[string]bool
	catalog        atomic.Pointer[catalog.Catalog]
	configured     atomic.Bool
	follower       *configuration.Follower
	ownership      *ownershipManager
	unloads        unloads
	tasks          tasks
	ctx            context.Context
	cancel         context.CancelFunc
}

const (
	// inputQueueSize is the maximum number of inputs that wait for the control goroutine; senders of further inputs block. A longer queue
	// absorbs a larger burst, but answers it later.
	inputQueueSize = 8192
	// maxReceivedBytes is the maximum number of bytes of peers' envelopes that wait for the control goroutine, 8 MiB by fleet.Envelope.Size.
	// A peer whose envelope does not fit is not read from until there is room. A higher limit absorbs a larger burst; a lower one
	// uses less memory. The smallest envelope counts half a KiB, so that small envelopes are limited by inputQueueSize. An envelope larger
	// than the limit is accepted while no other one waits.
	maxReceivedBytes = 8388608
	// tickInterval is the time between two ticks of the node, the shortest time after which it acts without an input. A longer interval acts
	// later; a shorter one uses more processor time: at this value a node in a hall of 40 uses 3.74 ms per second
	// (docs/capacity-shelfledged.md, slopes).
	tickInterval = 20 * time.Millisecond
)

// New creates a service. Run starts it.
func New(o Options) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		options: o, node: node.New(o.Now(), o.Node), inputs: make(chan input, inputQueueSize), receiveBudget: bytebudget.New(maxReceivedBytes),
		answerChannels: make(map[string]chan Answer), inspecting: make(map[string]bool), unloads: newUnloads(), ctx: ctx, cancel: cancel,
	}
	s.catalog.Store(catalog.New())
	s.ownership = newOwnershipManager(s)
	s.follower = configuration.NewFollower(o.KV, o.Prefix, func(r fleet.Records) { s.enqueue(recordsInput{records: r}) }, s.Revision, o.Log, o.Now)
	return s
}

// Run processes inputs and ticks until Stop is called.
func (s *Service) Run() {
	s.tasks.start(s.pollPlatformList)
	s.applyEffects(s.node.SetListed(s.options.Now(), s.options.Seeds, nil))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case i := <-s.inputs:
			s.applyEffects(i.apply(s.options.Now(), s))
		case <-ticker.C:
			s.applyEffects(s.node.Tick(s.options.Now()))
		}
	}
}

// Stop ends all goroutines and waits for the tasks. No task starts after Stop has returned.
func (s *Service) Stop() {
	s.cancel()
	s.follower.Stop()
	s.tasks.stop()
}

// Done is closed when the service stops.
func (s *Service) Done() <-chan struct{} {
	return s.ctx.Done()
}

func (s *Service) enqueue(i input) {
	select {
	case s.inputs <- i:
	case <-s.ctx.Done():
	}
}

// Receive accepts an envelope from a peer. It blocks while the envelopes that wait exceed maxReceivedBytes.
func (s *Service) Receive(e fleet.Envelope) {
	size := int64(e.Size())
	if err := s.receiveBudget.Acquire(s.ctx, size); err != nil {
		// The service is stopping and accepts no more envelopes.
		return
	}
	s.enqueue(envelopeInput{envelope: e, size: size})
}

// Submit requests a ticket. The answer arrives on the returned channel, which is buffered.
func (s *Service) Submit(r fleet.Request) <-chan Answer {
	answer := make(chan Answer, 1)
	s.enqueue(submitInput{request: r, answer: answer})
	return answer
}

// Withdraw withdraws a waiting request. A ticket that is granted at the same time is returned automatically.
func (s *Service) Withdraw(requestID string) {
	s.enqueue(withdrawInput{requestID: requestID})
}

// ReturnTicket returns a ticket to its placer after its request has ended or was never started.
func (s *Service) ReturnTicket(ticketID string) {
	s.enqueue(returnTicketInput{ticketID: ticketID})
}

// Leave begins a planned stop and returns when the pools have been handed over.
func (s *Service) Leave() {
	done := make(chan struct{})
	s.enqueue(leaveInput{done: done})
	select {
	case <-done:
	case <-s.ctx.Done():
	}
}

// View calls read with the node on the control goroutine. read must not modify or retain the node.
func (s *Service) View(read func(now time.Time, n *node.Node)) {
	done := make(chan struct{})
	s.enqueue(viewInput{read: read, done: done})
	select {
	case <-done:
	case <-s.ctx.Done():
	}
}

// Catalog returns the configuration in force here.
func (s *Service) Catalog() *catalog.Catalog {
	return s.catalog.Load()
}

// Configured reports whether the configuration is known here. While it is not, Catalog is empty and says nothing about what exists.
func (s *Service) Configured() bool {
	return s.configured.Load()
}

// Revision returns the revision in force here.
func (s *Service) Revision() int64 {
	return s.catalog.Load().Revision
}

// ApplyRecords applies configuration records that this daemon has just stored.
func (s *Service) ApplyRecords(r fleet.Records) {
	s.enqueue(recordsInput{records: r})
}

// RecordEvent records an event of the traffic path.
func (s *Service) RecordEvent(e fleet.Event) {
	e.Instance = s.options.Node.Self.ID
	s.recordEvent(e)
}

// recordEvent adds an event to the journal and the metrics, and to the log if its kind is important or the log level is debug.
func (s *Service) recordEvent(e fleet.Event) {
	s.options.Journal.Add(e)
	s.options.Metrics.Events.WithLabelValues(string(e.Kind)).Inc()
	if s.options.Log.Logger.IsLevelEnabled(logrus.DebugLevel) || isImportant(e.Kind) {
		s.logEvent(e)
	}
}

// isImportant reports whether events of the kind are logged even if the log level is not debug.
func isImportant(k fleet.EventKind) bool {
	switch k {
	case fleet.EventTakeover, fleet.EventRelease, fleet.EventMemberJoined, fleet.EventMemberLost, fleet.EventMemberLeft,
		fleet.EventRevision, fleet.EventRevisionBehind, fleet.EventOrderRefused, fleet.EventFreeze, fleet.EventThaw,
		fleet.EventRestarted, fleet.EventEndpointDown, fleet.EventEndpointUp, fleet.EventDrain, fleet.EventSlotUnknown:
		return true
	}
	return false
}

func (s *Service) logEvent(e fleet.Event) {
	fields := logrus.Fields{"event": e.Kind}
	for name, value := range map[string]string{
		"pool": e.Pool, "endpoint": e.Endpoint, "adapter": e.Adapter, "other": e.Other, "request": e.Request,
	} {
		if value != "" {
			fields[name] = value
		}
	}
	if e.Fence != 0 {
		fields["fence"] = e.Fence
	}
	if e.Revision != 0 {
		fields["revision"] = e.Revision
	}
	s.options.Log.WithFields(fields).Info(e.Cause)
}

func (s *Service) pollPlatformList() {
	if s.options.List == nil {
		return
	}
	ticker := time.NewTicker(s.options.ListInterval)
	defer ticker.Stop()
	failures := newFailureLog(s.options)
	for {
		list, err := s.options.List(s.ctx)
		switch {
		case err == nil:
			s.enqueue(listedInput{instances: list.Instances(), leaving: list.Leaving()})
		case s.ctx.Err() == nil:
			failures.log(callList, "", err)
		}
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
	}
}
