// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// input is a message to the control goroutine.
type input interface {
	apply(now time.Time, s *Service) []node.Effect
}

// envelopeInput is a peer's envelope. Its size is held in the byte budget until the envelope is processed.
type envelopeInput struct {
	envelope fleet.Envelope
	size     int64
}

func (i envelopeInput) apply(now time.Time, s *Service) []node.Effect {
	s.receiveBudget.Release(i.size)
	return s.node.Handle(now, i.envelope)
}

// Answer is the answer to a submitted request: a ticket or a refusal.
type Answer struct {
	Ticket   fleet.Ticket
	NotAfter time.Time
	Refusal  fleet.Refusal
	Granted  bool
}

type submitInput struct {
	request fleet.Request
	answer  chan Answer
}

func (i submitInput) apply(now time.Time, s *Service) []node.Effect {
	s.answerChannels[i.request.ID] = i.answer
	return s.node.Submit(now, i.request)
}

type withdrawInput struct{ requestID string }

func (i withdrawInput) apply(now time.Time, s *Service) []node.Effect {
	delete(s.answerChannels, i.requestID)
	return s.node.Withdraw(now, i.requestID)
}

type returnTicketInput struct{ ticketID string }

func (i returnTicketInput) apply(now time.Time, s *Service) []node.Effect {
	return s.node.ReturnTicket(now, i.ticketID)
}

type takeoverResultInput struct{ result node.TakeoverResult }

func (i takeoverResultInput) apply(now time.Time, s *Service) []node.Effect {
	return s.node.HandleTakeoverResult(now, i.result)
}

type inspectionInput struct {
	pool       string
	term       uint64
	inspection placement.Inspection
	leaving    bool
}

func (i inspectionInput) apply(now time.Time, s *Service) []node.Effect {
	delete(s.inspecting, i.inspection.Endpoint)
	effects := s.node.HandleInspection(now, i.pool, i.term, i.inspection)
	if i.leaving {
		effects = append(effects, s.node.EndpointLeaving(now, i.inspection.Endpoint)...)
	}
	return effects
}

type loadResultInput struct{ result node.LoadResult }

func (i loadResultInput) apply(now time.Time, s *Service) []node.Effect {
	return s.node.HandleLoadResult(now, i.result)
}

// unloadEndedInput reports that an unload was answered, or that no answer is expected any more.
type unloadEndedInput struct{ pool string }

func (i unloadEndedInput) apply(_ time.Time, s *Service) []node.Effect {
	if !s.unloads.end(i.pool) {
		return nil
	}
	return []node.Effect{node.ReleaseOwner{Pool: i.pool}}
}

type ownerResultInput struct{ result node.OwnerResult }

func (i ownerResultInput) apply(now time.Time, s *Service) []node.Effect {
	return s.node.HandleOwnerResult(now, i.result)
}

type leaseResultInput struct{ result node.LeaseResult }

func (i leaseResultInput) apply(now time.Time, s *Service) []node.Effect {
	return s.node.HandleLeaseResult(now, i.result)
}

type recordsInput struct{ records fleet.Records }

func (i recordsInput) apply(now time.Time, s *Service) []node.Effect {
	return s.node.ApplyRecords(now, i.records)
}

type listedInput struct {
	instances []fleet.Instance
	leaving   []string
}

func (i listedInput) apply(now time.Time, s *Service) []node.Effect {
	return s.node.SetListed(now, i.instances, i.leaving)
}

type leaveInput struct{ done chan struct{} }

func (i leaveInput) apply(now time.Time, s *Service) []node.Effect {
	defer close(i.done)
	return s.node.Leave(now)
}

// viewInput lets a query read the node between two inputs. The query must not modify the node.
type viewInput struct {
	read func(now time.Time, n *node.Node)
	done chan struct{}
}

func (i viewInput) apply(now time.Time, s *Service) []node.Effect {
	defer close(i.done)
	i.read(now, s.node)
	return nil
}
