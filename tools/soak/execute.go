// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
	"github.com/shelfledge/shelfledge/tools/soak/link"
	"github.com/shelfledge/shelfledge/tools/soak/plan"
)

const (
	// secondSignal is how long after the first signal of a stop the second one comes; earliest is how soon after a start a signal
	// comes, in steps of earlyStep.
	secondSignal = 700 * time.Millisecond
	earlyStep    = 3 * time.Millisecond
	earlySteps   = 8
	// brokenAfter is after how many events an endpoint breaks streams off.
	brokenAfter = 5
	// lateBy is how late the store does late writes; throttled is how many calls a second it answers while it throttles.
	lateBy    = 1500 * time.Millisecond
	throttled = 40
	// queueFor is for how long an endpoint has requests wait.
	queueFor = 3 * time.Second
	// limitStep is a step between limits, in requests a second, and restStep one between rests, in seconds.
	limitStep = 0.5
	restStep  = 0.5
)

// execute carries out a plan by a function for one step, which gets the step's number as well; it returns when each step has ended.
func (s *site) execute(ctx context.Context, steps []plan.Step, carryOut func(ctx context.Context, step plan.Step, number int) error) {
	begin := time.Now()
	var running sync.WaitGroup
	defer running.Wait()
	for number, step := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(begin.Add(step.At))):
		}
		running.Go(func() { s.logFailure(string(step.Kind), carryOut(ctx, step, number)) })
	}
}

// carryOut carries out one step; number varies what a kind leaves open.
func (s *site) carryOut(ctx context.Context, step plan.Step, number int) error {
	s.log.WithField("kind", step.Kind).WithField("target", step.Target).WithField("for", step.For).Debug("step")
	switch step.Kind {
	case plan.AddRoute:
		return s.operator.addRoute()
	case plan.RemoveRoute:
		return s.operator.removeRoute()
	case plan.SetIdle:
		return s.operator.setIdle(number)
	case plan.SetTimeouts:
		return s.operator.setTimeouts(number)
	case plan.Name:
		return s.operator.name(number)
	case plan.Busy:
		return s.keepBusy(ctx, step)
	}
	if s.strikeInstance(step, number) || s.strikeLink(step) {
		return nil
	}
	if done, err := s.strikeEndpoint(step); done {
		return err
	}
	return s.strikeStore(step)
}

// strikeInstance carries out a step on an instance; false for one that is none.
func (s *site) strikeInstance(step plan.Step, number int) bool {
	if step.Target >= len(s.instances) {
		return false
	}
	one := s.instances[step.Target]
	early := time.Duration(number%earlySteps) * earlyStep
	switch step.Kind {
	case plan.Stop:
		one.signal(syscall.SIGTERM)
	case plan.StopTwice:
		one.signal(syscall.SIGTERM)
		time.Sleep(secondSignal)
		one.signal(syscall.SIGTERM)
	case plan.StopEarly:
		one.signalNext(syscall.SIGTERM, early)
		one.signal(syscall.SIGTERM)
	case plan.Hangup:
		one.signal(syscall.SIGHUP)
	case plan.HangupEarly:
		one.signalNext(syscall.SIGHUP, early)
		one.signal(syscall.SIGTERM)
	case plan.Kill:
		one.signal(syscall.SIGKILL)
	case plan.Freeze:
		one.freeze(step.For)
	default:
		return false
	}
	return true
}

// strikeEndpoint carries out a step on an endpoint; false for one that is none.
func (s *site) strikeEndpoint(step plan.Step) (bool, error) {
	if step.Target >= len(s.endpoints) {
		return false, nil
	}
	e := s.endpoints[step.Target]
	switch step.Kind {
	case plan.EndpointBreaks:
		return true, e.current().SetFaults(platformstandin.WorkerFaults{Breaks: step.Count, BreakAfter: brokenAfter})
	case plan.EndpointResets:
		return true, e.current().SetFaults(platformstandin.WorkerFaults{Resets: step.Count})
	case plan.EndpointSheds:
		return true, e.current().SetFaults(platformstandin.WorkerFaults{Sheds: step.Count})
	case plan.EndpointErrors:
		return true, e.current().SetFaults(platformstandin.WorkerFaults{Errors: step.Count})
	case plan.EndpointTwice:
		return true, e.current().SetFaults(platformstandin.WorkerFaults{Extras: step.Count})
	case plan.EndpointHangs:
		return true, e.current().SetFaults(platformstandin.WorkerFaults{Hangs: step.Count})
	case plan.EndpointDrains:
		return true, e.drain(func(one *incarnation) error { return one.Drain() })
	case plan.EndpointVanishes:
		return true, e.drain(func(one *incarnation) error { return one.Vanish() })
	case plan.EndpointKilled:
		return true, e.kill()
	case plan.EndpointFreezes:
		return true, e.freeze(step.For)
	case plan.EndpointLinksSilent:
		return true, s.breakLinks(e.current(), (*incarnation).SilenceOpen)
	case plan.EndpointLinksReset:
		return true, s.breakLinks(e.current(), (*incarnation).ResetOpen)
	case plan.EndpointLimits:
		return true, s.say(e.current(), platformstandin.Notice{Limit: fmt.Sprint(float64(step.Count) * limitStep)}, step.For)
	case plan.EndpointRests:
		return true, s.say(e.current(), platformstandin.Notice{Rest: fmt.Sprint(float64(step.Count) * restStep)}, step.For)
	case plan.EndpointSaysLeaving:
		return true, e.leaveByAnswers()
	case plan.EndpointQueues:
		return true, s.queueAt(e.current(), step.For)
	}
	return false, nil
}

// breakLinks breaks the open connections to an endpoint.
func (s *site) breakLinks(one *incarnation, breakOpen func(*incarnation) error) error {
	now := time.Now()
	s.notes.disrupt(ledger.LinkBroken, one.id, now, now.Add(blamed))
	return breakOpen(one)
}

// strikeLink carries out a step on the link of an instance to the store; false for one that is none.
func (s *site) strikeLink(step plan.Step) bool {
	if step.Target >= len(s.instances) {
		return false
	}
	one := s.instances[step.Target]
	switch step.Kind {
	case plan.LinkSlow:
		one.disturbLink(link.Slow, step.For)
	case plan.LinkCut:
		one.disturbLink(link.Cut, step.For)
	case plan.LinkDeaf:
		one.disturbLink(link.Deaf, step.For)
	case plan.LinkReset:
		one.storeLink.Reset()
	default:
		return false
	}
	return true
}

// say has an endpoint say something of itself for a time, unless another step ends that.
func (s *site) say(one *incarnation, notice platformstandin.Notice, span time.Duration) error {
	if err := one.SetFaults(platformstandin.WorkerFaults{Says: notice}); err != nil {
		return err
	}
	time.Sleep(span)
	return one.SetFaults(platformstandin.WorkerFaults{})
}

// queueAt has the requests of an endpoint wait for a time before they begin.
func (s *site) queueAt(one *incarnation, wait time.Duration) error {
	if err := one.SetQueueWait(wait); err != nil {
		return err
	}
	time.Sleep(queueFor)
	return one.SetQueueWait(0)
}

// strikeStore carries out a step on the store.
func (s *site) strikeStore(step plan.Step) error {
	switch step.Kind {
	case plan.StoreDown:
		return s.troubleStore(platformstandin.StoreFaults{Down: true}, step.For)
	case plan.StoreSilent:
		return s.troubleStore(platformstandin.StoreFaults{Silent: true}, step.For)
	case plan.StoreThrottles:
		return s.troubleStore(platformstandin.StoreFaults{PerSecond: throttled}, step.For)
	case plan.StoreLosesWrites:
		return s.storeAt.SetFaults(platformstandin.StoreFaults{LoseAnswers: step.Count})
	case plan.StoreLateWrites:
		return s.storeAt.SetFaults(platformstandin.StoreFaults{LateWrites: step.Count, LateBy: lateBy})
	case plan.StoreForgets:
		return s.storeAt.DropHistory()
	case plan.StoreRevokes:
		return s.storeAt.RevokeLeases()
	case plan.StoreLinksSilent:
		return s.silenceStoreLinks()
	case plan.StoreFreezes:
		return s.freezeStore(step.For)
	}
	return fmt.Errorf("no step of the kind %q", step.Kind)
}

// troubleStore has the store in trouble for a time; while it is, bounds that run from its acknowledgements do not hold.
func (s *site) troubleStore(faults platformstandin.StoreFaults, span time.Duration) error {
	from := time.Now()
	if err := s.storeAt.SetFaults(faults); err != nil {
		return err
	}
	time.Sleep(span)
	err := s.storeAt.SetFaults(platformstandin.StoreFaults{})
	s.notes.disrupt(ledger.StoreTroubled, "", from, time.Now())
	return err
}

// silenceStoreLinks lets all open connections to the store fall silent. For the platform's bounds that is a reset of the connections of
// all instances, which only time-outs show.
func (s *site) silenceStoreLinks() error {
	now := time.Now()
	s.notes.disrupt(ledger.StoreTroubled, "", now, now)
	return s.storeAt.SilenceOpen()
}

// freezeStore stands the store's process still for a time.
func (s *site) freezeStore(span time.Duration) error {
	from := time.Now()
	if err := s.store.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(span)
	s.notes.disrupt(ledger.StoreTroubled, "", from, time.Now())
	return s.store.Signal(syscall.SIGCONT)
}

// keepBusy keeps some of the host's processors busy for a time, by processes of the soak's own.
func (s *site) keepBusy(ctx context.Context, step plan.Step) error {
	ctx, cancel := context.WithTimeout(ctx, step.For)
	defer cancel()
	return s.busy(ctx, step.Count)
}
