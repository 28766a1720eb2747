// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/tools/processes"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
	"github.com/shelfledge/shelfledge/tools/soak/plan"
	"github.com/shelfledge/shelfledge/tools/soak/traffic"
)

// brokenError says that a run broke promises.
type brokenError struct {
	findings int
	folder   string
}

// Error implements error.
func (e *brokenError) Error() string {
	return fmt.Sprintf("%d findings; all logs are in %s", e.findings, e.folder)
}

// noSteps is the argument that draws an empty plan.
const noSteps = "none"

// problems names all that is wrong with the arguments at once.
func (a arguments) problems() error {
	var found []error
	report := func(wrong bool, format string, values ...any) {
		if wrong {
			found = append(found, fmt.Errorf(format, values...))
		}
	}
	report(a.Seconds < 1, "--seconds: %d is below 1", a.Seconds)
	report(a.Instances < 1 || a.Instances > mostInstances, "--instances: %d is not within 1 and %d", a.Instances, mostInstances)
	report(a.Endpoints < plainEvery || a.Endpoints > mostEndpoints, "--endpoints: %d is not within %d and %d", a.Endpoints, plainEvery, mostEndpoints)
	report(a.Callers < 1 || a.Callers > mostCallers, "--callers: %d is not within 1 and %d", a.Callers, mostCallers)
	for name, share := range map[string]float64{"--blind": a.Blind, "--long": a.Long, "--edge": a.Edge, "--odd": a.Odd, "--patient": a.Patient} {
		report(share < 0 || share > 1, "%s: %g is no share", name, share)
	}
	report(a.Plant != "" && plants[a.Plant] == nil, "--plant: no fault %q, only %s", a.Plant, strings.Join(plantNames(), ", "))
	for _, kind := range a.kinds() {
		known := false
		for _, one := range plan.Kinds() {
			known = known || one == kind
		}
		report(!known, "--only: no step of the kind %q", kind)
	}
	return errors.Join(found...)
}

// Bounds of a run, so that it stays within a few hundred processes and half of the memory of a host of 24 GiB.
const (
	mostInstances = 80
	mostEndpoints = 60
	mostCallers   = 12000
)

// kinds gives the kinds that may be drawn; none allows all.
func (a arguments) kinds() []plan.Kind {
	if a.Only == "" || a.Only == noSteps {
		return nil
	}
	var kinds []plan.Kind
	for _, name := range strings.Split(a.Only, ",") {
		kinds = append(kinds, plan.Kind(name))
	}
	return kinds
}

// newSite checks the arguments and gives a site without processes, in a new folder whose name begins with the soak's.
func newSite(args arguments, soak string) (*site, error) {
	if err := args.problems(); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp(args.Folder, fmt.Sprintf("shelfledge-%s-%d-", soak, args.Seed))
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	if args.Debug {
		logger.SetLevel(logrus.DebugLevel)
	}
	return &site{args: args, folder: folder, self: self, log: logrus.NewEntry(logger), notes: &notes{}}, nil
}

// runSoak runs one soak of shelfledge-entry and reports it.
func runSoak(args arguments) error {
	site, err := newSite(args, "soak")
	if err != nil {
		return err
	}
	if err := site.start(); err != nil {
		site.close()
		return fmt.Errorf("%w; logs are in %s", err, site.folder)
	}
	steps := args.drawPlan()
	attempts, lag := site.play(steps)
	usages := site.usages()
	site.close()
	record, err := site.record(attempts, lag)
	if err != nil {
		return err
	}
	return site.judge(record, usages, steps)
}

// drawPlan draws the plan of a run.
func (a arguments) drawPlan() []plan.Step {
	options := plan.Options{Span: time.Duration(a.Seconds) * time.Second, Instances: a.Instances, Endpoints: a.Endpoints, Only: a.kinds()}
	var steps []plan.Step
	if a.Only != noSteps {
		steps = plan.Draw(a.Seed, options)
	}
	if a.Notices {
		steps = plan.Merge(steps, plan.DrawNotices(a.Seed, options))
	}
	return steps
}

// judge adds what processes held at the end to a record, and the fault that is to be planted, and reports it.
func (s *site) judge(record *ledger.Record, usages []ledger.Usage, steps []plan.Step) error {
	record.Usages = usages
	if s.args.Plant != "" {
		plants[s.args.Plant](record)
	}
	return s.report(record, steps)
}

// play has callers send while the plan is carried out, and gives their attempts and the soak's own lag.
func (s *site) play(steps []plan.Step) ([]ledger.Attempt, *lagMeter) {
	balancer := traffic.NewBalancer(s.targets())
	var mutex sync.Mutex
	var attempts []ledger.Attempt
	options := traffic.Options{
		Balancer: balancer, IdleLimit: s.operator.idleLimit, Added: s.operator.addedPrefixes,
		LongPauses: s.args.Long, EdgePauses: s.args.Edge, Blind: s.args.Blind, Odd: s.args.Odd, Patient: s.args.Patient,
		Record: func(a ledger.Attempt) {
			mutex.Lock()
			defer mutex.Unlock()
			attempts = append(attempts, a)
		},
	}
	background, end := context.WithCancel(context.Background())
	defer end()
	lag := newLagMeter()
	go lag.run(background)
	go balancer.Run(background)
	sending, stopSending := context.WithTimeout(background, time.Duration(s.args.Seconds)*time.Second)
	defer stopSending()
	var crowd traffic.Crowd
	crowd.Start(sending, options, s.args.Seed, s.args.Callers)
	waitCrashers := s.startCrashers(sending, balancer)
	s.execute(sending, steps, s.carryOut)
	crowd.Wait()
	waitCrashers()
	return attempts, lag
}

// busy keeps processors busy until the context ends.
func (s *site) busy(ctx context.Context, count int) error {
	var spinning []*processes.Process
	defer func() {
		for _, one := range spinning {
			one.Terminate(0)
		}
	}()
	for i := range count {
		one, err := processes.Start(processes.Command{
			Name: fmt.Sprintf("spin-%d", i), Program: s.self, Folder: s.folder, Arguments: []string{"spin", "--for", "1m"},
		})
		if err != nil {
			return err
		}
		spinning = append(spinning, one)
	}
	<-ctx.Done()
	return nil
}

// logFailure notes a step that could not be carried out: the endpoint may have gone meanwhile.
func (s *site) logFailure(what string, err error) {
	if err != nil {
		s.log.WithError(err).WithField("step", what).Warn("a step could not be carried out")
	}
}

func (s *site) storeControl() string {
	return s.storeAt.Control()
}

// noteOverfull adds an endpoint's own count of orders beyond its places.
func (s *site) noteOverfull(one *incarnation) {
	count, err := one.Overfull()
	if err != nil {
		// An endpoint that stands still or was killed tells nothing.
		s.log.WithError(err).WithField("endpoint", one.id).Debug("an endpoint does not tell its orders")
		return
	}
	s.notes.mutex.Lock()
	defer s.notes.mutex.Unlock()
	s.notes.overfull += count
}

// runFile names a file in the run's folder.
func (s *site) runFile(name string) string {
	return filepath.Join(s.folder, name)
}
