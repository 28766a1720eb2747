// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/engine"
	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// applyEffects carries out the node's effects. It must not block.
func (s *Service) applyEffects(effects []node.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case node.Send:
			s.options.Send(e.Envelope)
		case node.Deliver:
			s.deliver(e)
		case node.Reject:
			s.sendAnswer(e.RequestID, Answer{Refusal: e.Refusal})
		case node.TakeOverEndpoint:
			s.tasks.start(func() { s.takeOverEndpoint(e) })
		case node.InspectEndpoint:
			s.startInspection(e)
		case node.OrderLoad:
			s.startOrder(e)
		case node.AcquireOwner:
			s.unloads.cancelRelease(e.Pool)
			s.ownership.acquire(e.Pool, e.Term)
		case node.ReleaseOwner:
			s.release(e.Pool)
		case node.SettleOwner:
			s.ownership.settle(e.Pool)
		case node.RenewLease:
			s.ownership.renew()
		case node.PublishCatalog:
			s.catalog.Store(e.Catalog)
			s.configured.Store(true)
			s.options.Metrics.Revision.Set(float64(e.Catalog.Revision))
		case node.WatchConfiguration:
			s.follower.SetWatching(e.On)
		case node.RecordEvent:
			s.recordEvent(e.Event)
		}
	}
}

// deliver passes a ticket to its request, or returns the ticket if the request no longer waits.
func (s *Service) deliver(d node.Deliver) {
	if s.sendAnswer(d.RequestID, Answer{Ticket: d.Ticket, NotAfter: d.NotAfter, Granted: true}) {
		return
	}
	s.applyEffects(s.node.ReturnTicket(s.options.Now(), d.Ticket.ID))
}

func (s *Service) sendAnswer(requestID string, a Answer) bool {
	waiter, ok := s.answerChannels[requestID]
	if !ok {
		return false
	}
	delete(s.answerChannels, requestID)
	waiter <- a
	return true
}

// fenceHolderBits returns the bits that identify this run of the instance in every fence that it chooses.
func (s *Service) fenceHolderBits() uint16 {
	o := s.options.Node
	return uint16(o.Boot) ^ uint16(hash32(o.Self.ID))
}

// foldBits is the shift that folds a 32-bit hash into the 16 bits of a fence that identify its holder.
const foldBits = 16

func hash32(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text)) // A hash never fails.
	return h.Sum32() ^ h.Sum32()>>foldBits
}

func (s *Service) holderName() string {
	return s.options.Node.Self.ID
}

// takeOverEndpoint sets this node's fence on an endpoint and inspects the endpoint only after that. From
// then on the endpoint itself refuses requests with an older fence, so the inspection shows
// every request that was started under one.
func (s *Service) takeOverEndpoint(t node.TakeOverEndpoint) {
	result := node.TakeoverResult{Pool: t.Pool, Term: t.Term, Inspection: placement.Inspection{Endpoint: t.Endpoint.Name}}
	status, err := s.options.Dialect.Status(s.ctx, t.Endpoint)
	if err == nil && t.Endpoint.ChecksFence {
		result.Fence = engine.NextFence(status.Fence, s.fenceHolderBits())
		err = s.options.Dialect.ClaimFence(s.ctx, engine.Order{
			Endpoint: t.Endpoint, Incarnation: status.Incarnation, Fence: result.Fence, Holder: s.holderName(),
		})
	}
	result.Refused = engine.IsErrFenced(err)
	began := s.options.Now()
	if err == nil {
		status, err = s.options.Dialect.Status(s.ctx, t.Endpoint)
	}
	if err == nil {
		result.OK = !t.Endpoint.ChecksFence || status.Fence == result.Fence
		result.Inspection = inspection(t.Endpoint.Name, began, status)
	}
	s.enqueue(takeoverResultInput{result: result})
}

func inspection(endpoint string, began time.Time, status engine.Status) placement.Inspection {
	return placement.Inspection{
		Endpoint: endpoint, Incarnation: status.Incarnation, StartedAt: began, Resident: status.Resident, Running: status.Running, Up: true,
	}
}

// startInspection starts an inspection of an endpoint, unless one is in progress.
func (s *Service) startInspection(i node.InspectEndpoint) {
	if s.inspecting[i.Endpoint.Name] {
		return
	}
	s.inspecting[i.Endpoint.Name] = true
	s.tasks.start(func() { s.inspectEndpoint(i) })
}

func (s *Service) inspectEndpoint(i node.InspectEndpoint) {
	began := s.options.Now()
	status, err := s.options.Dialect.Status(s.ctx, i.Endpoint)
	in := placement.Inspection{Endpoint: i.Endpoint.Name, StartedAt: began}
	if err == nil {
		in = inspection(i.Endpoint.Name, began, status)
	}
	s.enqueue(inspectionInput{pool: i.Pool, term: i.Term, inspection: in, leaving: status.Leaving})
}

func (s *Service) startOrder(o node.OrderLoad) {
	if !o.Load.Evict.IsZero() {
		s.unloads.begin(o.Load.Pool)
	}
	s.tasks.start(func() { s.executeOrder(o) })
}

// release releases a pool once its unloads in flight are answered.
func (s *Service) release(pool string) {
	if !s.unloads.deferRelease(pool) {
		s.ownership.release(pool)
	}
}

// executeOrder evicts an adapter if necessary and loads another one. The time limit of the order is checked before each call, and
// again when its first byte is written.
func (s *Service) executeOrder(o node.OrderLoad) {
	l := o.Load
	result := node.LoadResult{
		Pool: l.Pool, Term: o.Term, Endpoint: l.Endpoint, Incarnation: l.Incarnation, Adapter: l.Adapter, Outcome: placement.LoadDone,
	}
	base := engine.Order{Endpoint: o.Endpoint, Incarnation: l.Incarnation, Fence: l.Fence, Holder: s.holderName()}
	if !l.Evict.IsZero() {
		unload := base
		unload.Adapter = l.Evict
		err := s.sendBeforeLimit(o, s.options.Dialect.Unload, unload)
		s.enqueue(unloadEndedInput{pool: l.Pool})
		if err != nil {
			s.enqueue(loadResultInput{result: s.failedResult(result, err)})
			return
		}
	}
	load := base
	load.Adapter = l.Adapter
	load.Source = s.adapterSource(l.Adapter)
	if err := s.sendBeforeLimit(o, s.options.Dialect.Load, load); err != nil {
		result = s.failedResult(result, err)
	}
	s.enqueue(loadResultInput{result: result})
}

func (s *Service) sendBeforeLimit(o node.OrderLoad, send func(context.Context, engine.Order) error, order engine.Order) error {
	if limit := o.Load.NotAfter; !limit.IsZero() && !s.options.Now().Before(limit) {
		return engine.ErrNotRun{Operation: "order", Reason: "the right to order has lapsed"}
	}
	order.StartBefore = engine.StartBefore(o.Load.NotAfter, s.options.Now)
	return send(s.ctx, order)
}

func (s *Service) failedResult(r node.LoadResult, err error) node.LoadResult {
	r.Cause = err.Error()
	r.Outcome = placement.LoadUnknown
	switch {
	case engine.IsErrFenced(err):
		r.Outcome, r.FenceLost = placement.LoadFailed, true
	case engine.IsErrNotRun(err):
		r.Outcome = placement.LoadFailed
	}
	return r
}

func (s *Service) adapterSource(ref fleet.AdapterRef) string {
	a := s.Catalog().Adapters[ref.Name]
	if a == nil {
		return ref.String()
	}
	for _, v := range a.Versions {
		if v.Number == ref.Version && v.Source != "" {
			return v.Source
		}
	}
	return ref.String()
}
