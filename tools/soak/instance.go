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
	// grace is the time between the signal to stop and the kill, as the settings tell the instance; afterGrace is how much later the
	// soak kills, so that an instance that overstays is seen.
	grace      = 8 * time.Second
	afterGrace = 1500 * time.Millisecond
	// restartPause is the pause between the end of an instance and its next start.
	restartPause = 300 * time.Millisecond
)

// place is where an instance stands.
type place struct {
	name  string
	hall  string
	ip    string
	ports platformstandin.Ports
}

// callers is the IP:PORT of the instance's callers.
func (p place) callers() string {
	return fmt.Sprintf("%s:%d", p.ip, p.ports.Callers)
}

// instance is one process of the program, which is started again whenever it ends.
type instance struct {
	place

	site *site
	// storeLink leads to the store.
	storeLink *link.Link
	// command gives what to start, with the address of that link; ready is the URL that tells whether the instance is ready.
	command func(place, string) (processes.Command, error)
	ready   string

	mutex   sync.Mutex
	process *processes.Process
	// began is when the present process was started.
	began time.Time
	// asked is when the present process was first sent a signal that ends it; zero for never.
	asked time.Time
	// killed says that the first such signal was SIGKILL.
	killed bool
	// early are sent to the next process as soon as it was started, each after its delay.
	early   []earlySignal
	closing bool
	ended   chan struct{}
}

// earlySignal is a signal in the first moments of a process.
type earlySignal struct {
	signal syscall.Signal
	after  time.Duration
}

// newEntry gives an instance of shelfledge-entry.
func newEntry(s *site, at place, seeds []string, store string) (*instance, error) {
	one, err := newInstance(s, at, store)
	if err != nil {
		return nil, err
	}
	one.ready = fmt.Sprintf("http://%s:%d/-/readyz", at.ip, at.ports.Ready)
	one.command = func(at place, store string) (processes.Command, error) {
		settings, err := json.Marshal(platformstandin.Settings(at.name, at.hall, at.ip, at.ports, seeds, store))
		return processes.Command{
			Name: at.name, Program: filepath.Join(s.args.Bin, "shelfledge-entry"), Folder: s.folder, Settings: settings,
			Arguments: []string{"--metrics-port", fmt.Sprint(at.ports.Metrics)},
		}, err
	}
	return one, nil
}

// newInstance gives an instance whose program is still to be set.
func newInstance(s *site, at place, store string) (*instance, error) {
	storeLink, err := link.New(store)
	if err != nil {
		return nil, err
	}
	return &instance{place: at, site: s, storeLink: storeLink, ended: make(chan struct{})}, nil
}

// disturbLink disturbs the link to the store for a time.
func (i *instance) disturbLink(mode link.Mode, span time.Duration) {
	from := time.Now()
	i.storeLink.SetMode(mode)
	time.Sleep(span)
	i.storeLink.SetMode(link.Pass)
	i.site.notes.disrupt(ledger.StoreTroubled, i.name, from, time.Now())
}

func (i *instance) target() traffic.Target {
	return traffic.Target{Name: i.name, Callers: i.callers(), Ready: i.ready}
}

// start starts the first process and the goroutine that starts the next ones.
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
	began := time.Now()
	process, err := processes.Start(command)
	if err != nil {
		return nil, err
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.process, i.began, i.asked, i.killed = process, began, time.Time{}, false
	for _, one := range i.early {
		time.AfterFunc(one.after, func() { i.signal(one.signal) })
	}
	i.early = nil
	return process, nil
}

// supervise notes each end and starts the next process.
func (i *instance) supervise(process *processes.Process) {
	defer close(i.ended)
	for {
		<-process.Exited()
		i.noteExit(process)
		if i.isClosing() {
			return
		}
		time.Sleep(restartPause)
		next, err := i.launch()
		if err != nil {
			i.site.log.WithError(err).WithField("instance", i.name).Error("an instance cannot be started")
			return
		}
		process = next
	}
}

func (i *instance) noteExit(process *processes.Process) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	exit := ledger.Exit{Instance: i.name, At: now, Asked: !i.asked.IsZero(), Lived: now.Sub(i.began)}
	if exit.Asked {
		exit.Took = now.Sub(i.asked)
		if !i.killed {
			i.site.notes.disrupt(ledger.Stop, i.name, i.asked, now)
		}
	}
	if err := process.Err(); err != nil {
		exit.Error = err.Error()
	}
	i.site.notes.exit(exit)
}

func (i *instance) isClosing() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.closing
}

// signal sends a signal to the present process and notes whether it ends it.
func (i *instance) signal(signal syscall.Signal) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.process == nil || i.process.HasExited() {
		return
	}
	now := time.Now()
	ends := signal == syscall.SIGTERM || signal == syscall.SIGINT || signal == syscall.SIGKILL
	if ends && i.asked.IsZero() {
		i.asked, i.killed = now, signal == syscall.SIGKILL
		process := i.process
		time.AfterFunc(grace+afterGrace, func() { i.overstay(process) })
	}
	if signal == syscall.SIGKILL {
		i.site.notes.disrupt(ledger.Kill, i.name, now, now.Add(time.Second))
	}
	// A process that ends at this moment needs no signal: its exit is noted.
	_ = i.process.Signal(signal)
}

// overstay kills a process that has not ended within its grace, as the platform does.
func (i *instance) overstay(process *processes.Process) {
	if process.HasExited() {
		return
	}
	now := time.Now()
	i.site.notes.disrupt(ledger.Kill, i.name, now, now.Add(time.Second))
	_ = process.Signal(syscall.SIGKILL)
}

// freeze stands the present process still for a time.
func (i *instance) freeze(span time.Duration) {
	from := time.Now()
	i.signal(syscall.SIGSTOP)
	time.Sleep(span)
	i.signal(syscall.SIGCONT)
	i.site.notes.disrupt(ledger.Freeze, i.name, from, time.Now())
}

// signalNext has the next process get a signal in its first moments.
func (i *instance) signalNext(signal syscall.Signal, after time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.early = append(i.early, earlySignal{signal: signal, after: after})
}

func (i *instance) close() {
	i.mutex.Lock()
	i.closing = true
	i.mutex.Unlock()
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGTERM)
	select {
	case <-i.ended:
	case <-time.After(endLimit):
		i.signal(syscall.SIGKILL)
	}
	i.storeLink.Close()
}
