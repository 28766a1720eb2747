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

// carryOut does what the node asked for; nothing in it may wait.
func (s *Service) carryOut(effects []node.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case node.Send:
			s.options.Send(e.Envelope)
		case node.Deliver:
			s.deliver(e)
		case node.Reject:
			s.answer(e.RequestID, Answer{Refusal: e.Refusal})
		case node.Take:
			s.tasks.start(func() { s.take(e) })
		case node.Inspect:
			s.inspectLater(e)
		case node.Order:
			s.tasks.start(func() { s.order(e) })
		case node.AcquireOwner:
			s.owner.acquire(e.Pool, e.Term)
		case node.ReleaseOwner:
			s.owner.release(e.Pool)
		case node.SettleOwner:
			s.owner.settle(e.Pool)
		case node.RenewLease:
			s.owner.renew()
		case node.Publish:
			s.catalog.Store(e.Catalog)
			s.options.Metrics.Revision.Set(float64(e.Catalog.Revision))
		case node.Watch:
			s.follower.SetWatching(e.On)
		case node.Note:
			s.noteEvent(e.Event)
		}
	}
}

// deliver hands a ticket to its request; one that has gone meanwhile gives it back.
func (s *Service) deliver(d node.Deliver) {
	if s.answer(d.RequestID, Answer{Ticket: d.Ticket, NotAfter: d.NotAfter, Granted: true}) {
		return
	}
	s.carryOut(s.node.Finish(s.options.Now(), d.Ticket.ID))
}

func (s *Service) answer(requestID string, a Answer) bool {
	waiter, ok := s.waiters[requestID]
	if !ok {
		return false
	}
	delete(s.waiters, requestID)
	waiter <- a
	return true
}

// holderID gives this life's own bits of every fence that it chooses.
func (s *Service) holderID() uint16 {
	o := s.options.Node
	return uint16(o.Boot) ^ uint16(hash32(o.Self.ID))
}

// foldBits folds a hash of 32 bits into the 16 bits that a fence has for its holder.
const foldBits = 16

func hash32(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text)) // A hash never fails.
	return h.Sum32() ^ h.Sum32()>>foldBits
}

func (s *Service) holderName() string {
	return s.options.Node.Self.ID
}

// take makes an endpoint obey this node, and reads its list only after that: whatever
// starts there later under an older fence is refused by the endpoint itself.
func (s *Service) take(t node.Take) {
	result := node.TakeResult{Pool: t.Pool, Term: t.Term, Inspection: placement.Inspection{Endpoint: t.Endpoint.Name}}
	status, err := s.options.Dialect.Status(s.ctx, t.Endpoint)
	if err == nil && t.Endpoint.ChecksFence {
		result.Fence = engine.NextFence(status.Fence, s.holderID())
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
	s.put(takenInput{result: result})
}

func inspection(endpoint string, began time.Time, status engine.Status) placement.Inspection {
	return placement.Inspection{
		Endpoint: endpoint, Incarnation: status.Incarnation, StartedAt: began, Resident: status.Resident, Running: status.Running, Up: true,
	}
}

// inspectLater reads an endpoint's list, one reading at a time.
func (s *Service) inspectLater(i node.Inspect) {
	if s.inspecting[i.Endpoint.Name] {
		return
	}
	s.inspecting[i.Endpoint.Name] = true
	s.tasks.start(func() { s.inspect(i) })
}

func (s *Service) inspect(i node.Inspect) {
	began := s.options.Now()
	status, err := s.options.Dialect.Status(s.ctx, i.Endpoint)
	in := placement.Inspection{Endpoint: i.Endpoint.Name, StartedAt: began}
	if err == nil {
		in = inspection(i.Endpoint.Name, began, status)
	}
	s.put(inspectedInput{pool: i.Pool, term: i.Term, inspection: in, leaving: status.Leaving})
}

// order evicts and loads; the right to order is looked at right before each write.
func (s *Service) order(o node.Order) {
	l := o.Load
	result := node.LoadResult{
		Pool: l.Pool, Term: o.Term, Endpoint: l.Endpoint, Incarnation: l.Incarnation, Adapter: l.Adapter, Result: placement.LoadDone,
	}
	base := engine.Order{Endpoint: o.Endpoint, Incarnation: l.Incarnation, Fence: l.Fence, Holder: s.holderName()}
	if !l.Evict.IsZero() {
		unload := base
		unload.Adapter = l.Evict
		if err := s.timely(o, s.options.Dialect.Unload, unload); err != nil {
			s.put(loadedInput{result: s.failedOrder(result, err)})
			return
		}
	}
	load := base
	load.Adapter = l.Adapter
	load.Source = s.source(l.Adapter)
	if err := s.timely(o, s.options.Dialect.Load, load); err != nil {
		result = s.failedOrder(result, err)
	}
	s.put(loadedInput{result: result})
}

func (s *Service) timely(o node.Order, send func(context.Context, engine.Order) error, order engine.Order) error {
	if limit := o.Load.NotAfter; !limit.IsZero() && !s.options.Now().Before(limit) {
		return engine.ErrNotRun{Operation: "order", Reason: "the right to order has lapsed"}
	}
	return send(s.ctx, order)
}

func (s *Service) failedOrder(r node.LoadResult, err error) node.LoadResult {
	r.Cause = err.Error()
	r.Result = placement.LoadUnknown
	switch {
	case engine.IsErrFenced(err):
		r.Result, r.FenceLost = placement.LoadFailed, true
	case engine.IsErrNotRun(err):
		r.Result = placement.LoadFailed
	}
	return r
}

func (s *Service) source(ref fleet.AdapterRef) string {
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
