// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/tools/processes"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
	"github.com/shelfledge/shelfledge/tools/soak/plan"
	"github.com/shelfledge/shelfledge/tools/soak/traffic"
)

// findingsError reports that the checks of a run had findings.
type findingsError struct {
	findings int
	folder   string
}

// Error implements error.
func (e *findingsError) Error() string {
	return fmt.Sprintf("%d findings; all logs are in %s", e.findings, e.folder)
}

// noSteps is the value of --only that selects an empty plan.
const noSteps = "none"

// validate returns the errors of all arguments, joined.
func (a arguments) validate() error {
	var found []error
	report := func(wrong bool, format string, values ...any) {
		if wrong {
			found = append(found, fmt.Errorf(format, values...))
		}
	}
	report(a.Seconds < 1, "--seconds: %d is below 1", a.Seconds)
	report(a.Instances < 1 || a.Instances > maxInstances, "--instances: %d is not within 1 and %d", a.Instances, maxInstances)
	report(a.Endpoints < plainServiceInterval || a.Endpoints > maxEndpoints, "--endpoints: %d is not within %d and %d", a.Endpoints, plainServiceInterval, maxEndpoints)
	report(a.Software < 1 || a.Software > maxSoftware, "--software: %d is not within 1 and %d", a.Software, maxSoftware)
	report(a.Callers < 1 || a.Callers > maxCallers, "--callers: %d is not within 1 and %d", a.Callers, maxCallers)
	for name, share := range map[string]float64{
		"--blind": a.Blind, "--long": a.Long, "--edge": a.Edge, "--odd": a.Odd, "--patient": a.Patient, "--until-close": a.UntilClose,
		"--cut-off": a.CutOff, "--take-up": a.TakeUp, "--herd-share": a.HerdShare,
	} {
		report(share < 0 || share > 1, "%s: %g is no share", name, share)
	}
	report(a.Plant != "" && plants[a.Plant] == nil, "--plant: no fault %q, only %s", a.Plant, strings.Join(plantNames(), ", "))
	report(a.Halls < 1 || a.Halls > maxInstances, "--halls: %d is not within 1 and %d", a.Halls, maxInstances)
	for _, herd := range a.herds() {
		report(!slices.Contains(plan.Herds(), herd), "--herd: no choice %q, only %v", herd, plan.Herds())
	}
	for _, kind := range a.kinds() {
		known := false
		for _, one := range plan.Kinds() {
			known = known || one == kind
		}
		report(!known, "--only: no step of the kind %q", kind)
	}
	return errors.Join(found...)
}

// Bounds of the arguments. They keep a run within a few hundred processes and half of the memory of a host with 24 GiB.
const (
	maxInstances = 80
	maxEndpoints = 60
	maxCallers   = 12000
	maxSoftware  = 3
)

// lastingShare is the share of requests that are streams of seconds, in runs that kill several instances at once.
const lastingShare = 0.2

// kinds returns the kinds of step that may be drawn. An empty result allows all kinds.
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

// herds returns the choices of herd kills.
func (a arguments) herds() []plan.Herd {
	var herds []plan.Herd
	for _, name := range strings.FieldsFunc(a.Herd, func(r rune) bool { return r == ',' }) {
		herds = append(herds, plan.Herd(name))
	}
	return herds
}

// newSite validates the arguments and returns a site without processes. The site gets a new folder whose name contains soak and the
// seed.
func newSite(args arguments, soak string) (*site, error) {
	if err := args.validate(); err != nil {
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
	return &site{args: args, folder: folder, self: self, log: logrus.NewEntry(logger), recorder: &recorder{}}, nil
}

// runSoak runs one soak of shelfledge-entry and prints its report.
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
	return site.reportRun(record, usages, steps)
}

// drawPlan draws the plan of a run from the seed.
func (a arguments) drawPlan() []plan.Step {
	options := plan.Options{Span: time.Duration(a.Seconds) * time.Second, Instances: a.Instances, Endpoints: a.Endpoints, Only: a.kinds()}
	options.Herds, options.HerdShare, options.Halls = a.herds(), a.HerdShare, a.Halls
	var steps []plan.Step
	if a.Only != noSteps {
		steps = plan.Draw(a.Seed, options)
	}
	if a.Notices {
		steps = plan.Merge(steps, plan.DrawNotices(a.Seed, options))
	}
	if a.Endless {
		steps = plan.Merge(steps, plan.DrawEndless(a.Seed, options))
	}
	steps = plan.Merge(steps, plan.DrawHerd(a.Seed, options))
	if a.Software > 1 {
		steps = plan.Merge(steps, plan.DrawReleases(a.Seed, options))
	}
	return steps
}

// reportRun adds the resource usages and the planted fault, if any, to the record and reports the record.
func (s *site) reportRun(record *ledger.Record, usages []ledger.Usage, steps []plan.Step) error {
	record.Usages = usages
	if s.args.Plant != "" {
		plants[s.args.Plant](record)
	}
	return s.report(record, steps)
}

// play sends the requests of all callers while it executes the plan. It returns the attempts and the meter of the soak's own lag.
func (s *site) play(steps []plan.Step) ([]ledger.Attempt, *lagMeter) {
	balancer := traffic.NewBalancer(s.targets())
	var mutex sync.Mutex
	var attempts []ledger.Attempt
	options := traffic.Options{
		Balancer: balancer, IdleLimit: s.operator.idleLimit, AddedPrefixes: s.operator.addedPrefixes,
		LongPauses: s.args.Long, EdgePauses: s.args.Edge, Blind: s.args.Blind, Odd: s.args.Odd, Patient: s.args.Patient,
		TakeUp: s.args.TakeUp,
		Record: func(a ledger.Attempt) {
			mutex.Lock()
			defer mutex.Unlock()
			attempts = append(attempts, a)
		},
	}
	if s.args.Herd != "" {
		options.Lasting = lastingShare
	}
	background, end := context.WithCancel(context.Background())
	defer end()
	lag := newLagMeter()
	go lag.run(background)
	go balancer.Run(background)
	sending, stopSending := context.WithTimeout(background, time.Duration(s.args.Seconds)*time.Second)
	defer stopSending()
	var crowd traffic.CallerGroup
	crowd.Start(sending, options, s.args.Seed, s.args.Callers)
	waitCrashers := s.startCrashers(sending, balancer)
	s.execute(sending, steps, s.executeStep)
	crowd.Wait()
	waitCrashers()
	return attempts, lag
}

// spinProcessors keeps count processors busy with child processes until the context ends.
func (s *site) spinProcessors(ctx context.Context, count int) error {
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

// logFailure logs the error of a step. A failed step is no fault of the run: its endpoint may have ended before the step.
func (s *site) logFailure(what string, err error) {
	if err != nil {
		s.log.WithError(err).WithField("step", what).Warn("a step could not be carried out")
	}
}

func (s *site) storeControl() string {
	return s.storeHandle.Control()
}

// recordOverfull adds the number of orders that the endpoint received beyond its places.
func (s *site) recordOverfull(one *endpointProcess) {
	count, err := one.Overfull()
	if err != nil {
		// A frozen or killed endpoint does not answer.
		s.log.WithError(err).WithField("endpoint", one.id).Debug("an endpoint does not tell its orders")
		return
	}
	s.recorder.mutex.Lock()
	defer s.recorder.mutex.Unlock()
	s.recorder.overfull += count
}

// runFile returns the path of a file in the folder of the run.
func (s *site) runFile(name string) string {
	return filepath.Join(s.folder, name)
}
