// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
	"github.com/shelfledge/shelfledge/tools/soak/link"
	"github.com/shelfledge/shelfledge/tools/soak/plan"
)

const (
	// secondSignalDelay is the time between the two signals of a stop that is signalled twice. An early signal follows the start of a
	// process after a multiple of earlyStep, from 0 to earlySteps - 1.
	secondSignalDelay = 700 * time.Millisecond
	earlyStep         = 3 * time.Millisecond
	earlySteps        = 8
	// breakAfterEvents is the number of events after which an endpoint breaks off a stream.
	breakAfterEvents = 5
	// lateWriteDelay is the delay of the store's late writes. throttledRate is the number of calls a second that a throttling store
	// answers.
	lateWriteDelay = 1500 * time.Millisecond
	throttledRate  = 40
	// queueDuration is how long an endpoint goes on to queue new requests.
	queueDuration = 3 * time.Second
	// limitStep is the unit of announced limits, in requests a second, and restStep the unit of announced rests, in seconds.
	limitStep = 0.5
	restStep  = 0.5
)

// execute calls carryOut for each step of a plan at the step's time, with the number of the step. It returns when all steps have ended.
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

// executeStep executes one step. The number of the step varies the details that its kind does not fix.
func (s *site) executeStep(ctx context.Context, step plan.Step, number int) error {
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
		return s.operator.addNaming(number)
	case plan.Busy:
		return s.keepBusy(ctx, step)
	case plan.HerdKill:
		s.killHerd(step.Targets)
		return nil
	case plan.SoftwareLeaves:
		return s.retireSoftware(step.Count)
	}
	if s.disturbInstance(step, number) || s.disturbStoreLink(step) {
		return nil
	}
	if done, err := s.disturbEndpoint(step); done {
		return err
	}
	return s.disturbStore(step)
}

// disturbInstance executes a step on an instance. It returns false if the kind of the step does not apply to instances.
func (s *site) disturbInstance(step plan.Step, number int) bool {
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
		time.Sleep(secondSignalDelay)
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

// errorStatuses are the statuses with which endpoints answer requests that they have run.
var errorStatuses = []int{
	http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
}

// errorStatus returns the status of a step's errors. It follows from the count, so that a plan plays the same statuses again.
func errorStatus(step plan.Step) int {
	return errorStatuses[step.Count%len(errorStatuses)]
}

// disturbEndpoint executes a step on an endpoint. It returns false if the kind of the step does not apply to endpoints.
func (s *site) disturbEndpoint(step plan.Step) (bool, error) {
	if step.Target >= len(s.endpoints) {
		return false, nil
	}
	e := s.endpoints[step.Target]
	switch step.Kind {
	case plan.EndpointBreaks:
		return true, e.current().SetFaults(platformstandin.WorkerFaults{Breaks: step.Count, BreakAfter: breakAfterEvents})
	case plan.EndpointResets:
		return true, e.current().SetFaults(platformstandin.WorkerFaults{Resets: step.Count})
	case plan.EndpointSheds:
		return true, e.current().SetFaults(platformstandin.WorkerFaults{Sheds: step.Count})
	case plan.EndpointErrors:
		return true, e.current().SetFaults(platformstandin.WorkerFaults{Errors: step.Count, ErrorStatus: errorStatus(step)})
	case plan.EndpointTwice:
		return true, e.current().SetFaults(platformstandin.WorkerFaults{Extras: step.Count})
	case plan.EndpointHangs:
		return true, e.current().SetFaults(platformstandin.WorkerFaults{Hangs: step.Count})
	case plan.EndpointDrains:
		return true, e.drain(func(one *endpointProcess) error { return one.Drain() })
	case plan.EndpointReleased:
		return true, e.release(func(one *endpointProcess) error { return one.Drain() })
	case plan.EndpointVanishes:
		return true, e.drain(func(one *endpointProcess) error { return one.Vanish() })
	case plan.EndpointKilled:
		return true, e.kill()
	case plan.EndpointFreezes:
		return true, e.freeze(step.For)
	case plan.EndpointLinksSilent:
		return true, s.breakLinks(e.current(), (*endpointProcess).SilenceOpen)
	case plan.EndpointLinksReset:
		return true, s.breakLinks(e.current(), (*endpointProcess).ResetOpen)
	case plan.EndpointLimits:
		return true, s.announce(e.current(), platformstandin.Notice{Limit: fmt.Sprint(float64(step.Count) * limitStep)}, step.For)
	case plan.EndpointRests:
		return true, s.announce(e.current(), platformstandin.Notice{Rest: fmt.Sprint(float64(step.Count) * restStep)}, step.For)
	case plan.EndpointEndless:
		return true, s.sendWithoutEnd(e.current(), platformstandin.EndlessKind(step.Count), step.For)
	case plan.EndpointSaysLeaving:
		return true, e.leaveByAnswers()
	case plan.EndpointQueues:
		return true, s.queueRequests(e.current(), step.For)
	}
	return false, nil
}

// breakLinks breaks the open connections to an endpoint with breakOpen and records the disruption.
func (s *site) breakLinks(one *endpointProcess, breakOpen func(*endpointProcess) error) error {
	now := time.Now()
	s.recorder.addDisruption(ledger.LinkBroken, one.id, now, now.Add(blameWindow))
	return breakOpen(one)
}

// disturbStoreLink executes a step on the link from an instance to the store. It returns false if the kind of the step does not apply to
// links.
func (s *site) disturbStoreLink(step plan.Step) bool {
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
		one.disturbLink(link.OneWay, step.For)
	case plan.LinkReset:
		one.storeLink.Reset()
	default:
		return false
	}
	return true
}

// announce makes an endpoint send the notice in its answers for the span, unless another step replaces its faults earlier.
func (s *site) announce(one *endpointProcess, notice platformstandin.Notice, span time.Duration) error {
	if err := one.SetFaults(platformstandin.WorkerFaults{Says: notice}); err != nil {
		return err
	}
	time.Sleep(span)
	return one.SetFaults(platformstandin.WorkerFaults{})
}

// sendWithoutEnd makes an endpoint send without end for the span, unless another step replaces its faults earlier.
func (s *site) sendWithoutEnd(one *endpointProcess, kind platformstandin.EndlessKind, span time.Duration) error {
	if err := one.SetFaults(platformstandin.WorkerFaults{Endless: kind}); err != nil {
		return err
	}
	time.Sleep(span)
	return one.SetFaults(platformstandin.WorkerFaults{})
}

// queueRequests makes an endpoint delay the begin of each new request by wait, for queueDuration.
func (s *site) queueRequests(one *endpointProcess, wait time.Duration) error {
	if err := one.SetQueueWait(wait); err != nil {
		return err
	}
	time.Sleep(queueDuration)
	return one.SetQueueWait(0)
}

// disturbStore executes a step on the store.
func (s *site) disturbStore(step plan.Step) error {
	switch step.Kind {
	case plan.StoreDown:
		return s.setStoreFaults(platformstandin.StoreFaults{Down: true}, step.For)
	case plan.StoreSilent:
		return s.setStoreFaults(platformstandin.StoreFaults{Silent: true}, step.For)
	case plan.StoreThrottles:
		return s.setStoreFaults(platformstandin.StoreFaults{PerSecond: throttledRate}, step.For)
	case plan.StoreLosesWrites:
		return s.storeHandle.SetFaults(platformstandin.StoreFaults{LoseAnswers: step.Count})
	case plan.StoreLateWrites:
		return s.storeHandle.SetFaults(platformstandin.StoreFaults{LateWrites: step.Count, LateBy: lateWriteDelay})
	case plan.StoreForgets:
		return s.storeHandle.DropHistory()
	case plan.StoreRevokes:
		return s.storeHandle.RevokeLeases()
	case plan.StoreLinksSilent:
		return s.silenceStoreLinks()
	case plan.StoreFreezes:
		return s.freezeStore(step.For)
	}
	return fmt.Errorf("no step of the kind %q", step.Kind)
}

// setStoreFaults sets the faults of the store for the span and records the disruption. During the disruption, the checks suspend the
// bounds that start at an acknowledgement of the store.
func (s *site) setStoreFaults(faults platformstandin.StoreFaults, span time.Duration) error {
	from := time.Now()
	if err := s.storeHandle.SetFaults(faults); err != nil {
		return err
	}
	time.Sleep(span)
	err := s.storeHandle.SetFaults(platformstandin.StoreFaults{})
	s.recorder.addDisruption(ledger.StoreFault, "", from, time.Now())
	return err
}

// silenceStoreLinks silences all open connections to the store. For the platform's bounds this counts as a reset of the store
// connections of all instances; the instances detect it only by time-outs.
func (s *site) silenceStoreLinks() error {
	now := time.Now()
	s.recorder.addDisruption(ledger.StoreFault, "", now, now)
	return s.storeHandle.SilenceOpen()
}

// freezeStore suspends the store's process for the span.
func (s *site) freezeStore(span time.Duration) error {
	from := time.Now()
	if err := s.store.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(span)
	s.recorder.addDisruption(ledger.StoreFault, "", from, time.Now())
	return s.store.Signal(syscall.SIGCONT)
}

// keepBusy keeps step.Count processors of the host busy for the time of the step.
func (s *site) keepBusy(ctx context.Context, step plan.Step) error {
	ctx, cancel := context.WithTimeout(ctx, step.For)
	defer cancel()
	return s.spinProcessors(ctx, step.Count)
}
