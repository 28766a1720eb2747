// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/processes"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
	"github.com/shelfledge/shelfledge/tools/soak/link"
	"github.com/shelfledge/shelfledge/tools/soak/traffic"
)

const (
	// grace is the time between the stop signal and SIGKILL in the settings of the instance. The soak sends SIGKILL killDelay later,
	// so that an instance that exceeds its grace is detected.
	grace     = 8 * time.Second
	killDelay = 1500 * time.Millisecond
	// restartPause is the pause between the end of an instance and its next start.
	restartPause = 300 * time.Millisecond
)

// place is the name, hall and addresses of an instance.
type place struct {
	name  string
	hall  string
	ip    string
	ports platformstandin.Ports
}

// callers returns the IP:PORT at which the instance listens for callers.
func (p place) callers() string {
	return fmt.Sprintf("%s:%d", p.ip, p.ports.Callers)
}

// instance runs one process of the program and starts another process whenever it ends.
type instance struct {
	place

	site *site
	// storeLink is the link through which the instance connects to the store.
	storeLink *link.Link
	// command returns the command that starts the instance; its second argument is the address of the store link. ready is the URL of
	// the readiness check.
	command func(place, string) (processes.Command, error)
	ready   string

	mutex   sync.Mutex
	process *processes.Process
	// startedAt is when the current process was started.
	startedAt time.Time
	// stopSignaled is when the current process was first sent a signal that ends it. It is zero if none was sent.
	stopSignaled time.Time
	// restartDelay is the pause before the next start if it is longer than restartPause.
	restartDelay time.Duration
	// killed reports whether the first such signal was SIGKILL.
	killed bool
	// earlySignals are sent to the next process after its start, each after its own delay.
	earlySignals []earlySignal
	closing      bool
	ended        chan struct{}
}

// earlySignal is a signal sent shortly after the start of a process.
type earlySignal struct {
	signal syscall.Signal
	after  time.Duration
}

// newEntry returns an instance that runs shelfledge-entry from a folder of programs.
func newEntry(s *site, programs string, at place, seeds []string, store string) (*instance, error) {
	one, err := newInstance(s, at, store)
	if err != nil {
		return nil, err
	}
	one.ready = fmt.Sprintf("http://%s:%d/-/readyz", at.ip, at.ports.Ready)
	one.command = func(at place, store string) (processes.Command, error) {
		settings, err := json.Marshal(platformstandin.Settings(at.name, at.hall, at.ip, at.ports, seeds, store))
		return processes.Command{
			Name: at.name, Program: filepath.Join(programs, "shelfledge-entry"), Folder: s.folder, Settings: settings,
			Arguments: []string{"--metrics-port", fmt.Sprint(at.ports.Metrics)},
		}, err
	}
	return one, nil
}

// newInstance returns an instance without a command; the caller sets command and ready.
func newInstance(s *site, at place, store string) (*instance, error) {
	storeLink, err := link.New(store)
	if err != nil {
		return nil, err
	}
	return &instance{place: at, site: s, storeLink: storeLink, ended: make(chan struct{})}, nil
}

// disturbLink sets the mode of the store link for the span and records the disruption.
func (i *instance) disturbLink(mode link.Mode, span time.Duration) {
	from := time.Now()
	i.storeLink.SetMode(mode)
	time.Sleep(span)
	i.storeLink.SetMode(link.Pass)
	i.site.recorder.addDisruption(ledger.StoreFault, i.name, from, time.Now())
}

func (i *instance) target() traffic.Target {
	return traffic.Target{Name: i.name, Callers: i.callers(), Ready: i.ready}
}

// start starts the first process and the goroutine that starts its successors.
func (i *instance) start() error {
	process, err := i.launch()
	if err != nil {
		return err
	}
	go i.supervise(process)
	return nil
}

func (i *instance) launch() (*processes.Process, error) {
	command, err := i.command(i.place, i.storeLink.Address())
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	process, err := processes.Start(command)
	if err != nil {
		return nil, err
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.process, i.startedAt, i.stopSignaled, i.killed = process, startedAt, time.Time{}, false
	i.restartDelay = 0
	for _, one := range i.earlySignals {
		time.AfterFunc(one.after, func() { i.signal(one.signal) })
	}
	i.earlySignals = nil
	return process, nil
}

// supervise records each exit and starts the next process.
func (i *instance) supervise(process *processes.Process) {
	defer close(i.ended)
	for {
		<-process.Exited()
		i.handleExit(process)
		if i.isClosing() {
			return
		}
		time.Sleep(i.pauseBeforeStart())
		next, err := i.launch()
		if err != nil {
			i.site.log.WithError(err).WithField("instance", i.name).Error("an instance cannot be started")
			return
		}
		process = next
	}
}

func (i *instance) handleExit(process *processes.Process) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	exit := ledger.Exit{Instance: i.name, At: now, Requested: !i.stopSignaled.IsZero(), Lifetime: now.Sub(i.startedAt)}
	if exit.Requested {
		exit.StopTime = now.Sub(i.stopSignaled)
		if !i.killed {
			i.site.recorder.addDisruption(ledger.Stop, i.name, i.stopSignaled, now)
		}
	}
	if err := process.Err(); err != nil {
		exit.Error = err.Error()
	}
	i.site.recorder.exit(exit)
}

func (i *instance) isClosing() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.closing
}

// signal sends a signal to the current process. If the signal is to end the process, signal records that and schedules the SIGKILL
// after the grace.
func (i *instance) signal(signal syscall.Signal) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.process == nil || i.process.HasExited() {
		return
	}
	now := time.Now()
	ends := signal == syscall.SIGTERM || signal == syscall.SIGINT || signal == syscall.SIGKILL
	if ends && i.stopSignaled.IsZero() {
		i.stopSignaled, i.killed = now, signal == syscall.SIGKILL
		process := i.process
		time.AfterFunc(grace+killDelay, func() { i.killOverdue(process) })
	}
	if signal == syscall.SIGKILL {
		i.site.recorder.addDisruption(ledger.Kill, i.name, now, now.Add(time.Second))
	}
	// An error means that the process has just ended; supervise records its exit.
	_ = i.process.Signal(signal)
}

// killOverdue kills a process that has not ended within its grace, as the platform does.
func (i *instance) killOverdue(process *processes.Process) {
	if process.HasExited() {
		return
	}
	now := time.Now()
	i.site.recorder.addDisruption(ledger.Kill, i.name, now, now.Add(time.Second))
	_ = process.Signal(syscall.SIGKILL)
}

// killFor kills the current process. The next one starts after the pause.
func (i *instance) killFor(pause time.Duration) {
	i.mutex.Lock()
	i.restartDelay = pause
	i.mutex.Unlock()
	i.signal(syscall.SIGKILL)
}

// pauseBeforeStart returns the pause between the end of the former process and the next start.
func (i *instance) pauseBeforeStart() time.Duration {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return max(restartPause, i.restartDelay)
}

// freeze suspends the current process for the span.
func (i *instance) freeze(span time.Duration) {
	from := time.Now()
	i.signal(syscall.SIGSTOP)
	time.Sleep(span)
	i.signal(syscall.SIGCONT)
	i.site.recorder.addDisruption(ledger.Freeze, i.name, from, time.Now())
}

// signalNext schedules a signal to the next process, at the given time after its start.
func (i *instance) signalNext(signal syscall.Signal, after time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.earlySignals = append(i.earlySignals, earlySignal{signal: signal, after: after})
}

func (i *instance) close() {
	i.mutex.Lock()
	i.closing = true
	i.mutex.Unlock()
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGTERM)
	select {
	case <-i.ended:
	case <-time.After(stopTimeout):
		i.signal(syscall.SIGKILL)
	}
	i.storeLink.Close()
}
