// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/processes"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
	"github.com/shelfledge/shelfledge/tools/soak/outside"
)

const (
	// drainTime is how long an endpoint serves on after the store has taken that it leaves, as the settings tell instances; drainExtra
	// is how much longer it does.
	drainTime  = 2 * time.Second
	drainExtra = 3 * time.Second
	// silentLeaving is for how long an endpoint says in its answers alone that it leaves.
	silentLeaving = 6 * time.Second
	// silentBeats is after what silence the platform drops an endpoint's entry.
	silentBeats = 3 * platformstandin.HeartbeatInterval
	// replacePause is the pause until another endpoint comes for one that was killed.
	replacePause = 500 * time.Millisecond
	// blamed is for how long after its end an endpoint counts as the cause of a request's end.
	blamed = 3 * time.Second
	// modelSlots and plainSlots are what endpoints take at once.
	modelSlots = 16
	plainSlots = 8
)

// endpoint is a place at which one endpoint after the other stands.
type endpoint struct {
	site  *site
	place int
	ip    string

	mutex   sync.Mutex
	count   int
	present *incarnation
}

// incarnation is one endpoint's process.
type incarnation struct {
	*outside.EndpointHandle

	id      string
	process *processes.Process
	// asked says that the soak ends it.
	asked atomic.Bool
}

// begin starts the next incarnation; the one before goes on until it is ended. The operator tells its versions without the endpoint's mutex,
// since it asks for endpoints while it holds its own.
func (e *endpoint) begin() error {
	started, err := e.start()
	if err != nil {
		return err
	}
	return e.site.operator.tellVersions(started)
}

// start starts the next incarnation.
func (e *endpoint) start() (*incarnation, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	ports, err := platformstandin.FreePorts([]string{e.ip})
	if err != nil {
		return nil, err
	}
	e.count++
	id := fmt.Sprintf("i-%d-%d", e.place, e.count)
	control := fmt.Sprintf("%s:%d", e.ip, ports.Callers)
	arguments := []string{
		"endpoint", "--control", control, "--store", e.site.storeControl(), "--id", id, "--hall", hall(e.place),
		"--journal", filepath.Join(e.site.folder, id+".runs.jsonl"),
	}
	if e.place%plainEvery == plainEvery-1 {
		arguments = append(arguments, "--slots", fmt.Sprint(plainSlots))
	} else {
		arguments = append(arguments, "--slots", fmt.Sprint(modelSlots), "--model", platformstandin.Model)
	}
	process, err := processes.Start(processes.Command{Name: id, Program: e.site.self, Folder: e.site.folder, Arguments: arguments})
	if err != nil {
		return nil, err
	}
	e.present = &incarnation{EndpointHandle: outside.NewEndpointHandle(control), id: id, process: process}
	up := func() bool {
		_, err := e.present.Overfull()
		return err == nil
	}
	if !processes.Poll(upLimit, up) {
		return nil, fmt.Errorf("endpoint %s does not come up", id)
	}
	return e.present, nil
}

func (e *endpoint) current() *incarnation {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.present
}

// drain has the present endpoint leave, with a notice or without, and another one come; it ends a while after the notice.
func (e *endpoint) drain(leave func(*incarnation) error) error {
	leaving := e.current()
	if err := leave(leaving); err != nil {
		return err
	}
	e.site.notes.depart(leaving.id, time.Now())
	time.AfterFunc(drainTime+drainExtra, func() { e.site.logFailure("end of an endpoint", e.end(leaving)) })
	return e.begin()
}

// leaveByAnswers has the present endpoint say in its answers that it leaves, a good while before it tells the store.
func (e *endpoint) leaveByAnswers() error {
	leaving := e.current()
	if err := leaving.SetFaults(platformstandin.WorkerFaults{Says: platformstandin.Notice{Leaving: true}}); err != nil {
		return err
	}
	time.Sleep(silentLeaving)
	if e.current() != leaving || leaving.process.HasExited() {
		return nil
	}
	return e.drain(func(one *incarnation) error { return one.Drain() })
}

// kill kills the present endpoint; its entry goes after a silence, and another one comes.
func (e *endpoint) kill() error {
	killed := e.current()
	if err := e.end(killed); err != nil {
		return err
	}
	time.AfterFunc(silentBeats, func() {
		e.site.logFailure("removal of an entry", e.site.storeAt.Remove(platformstandin.EndpointKey(killed.id)))
	})
	time.Sleep(replacePause)
	return e.begin()
}

// end kills an endpoint's process and takes its entry out if it is still there.
func (e *endpoint) end(one *incarnation) error {
	one.asked.Store(true)
	if one.process.HasExited() {
		return nil
	}
	now := time.Now()
	e.site.notes.disrupt(ledger.EndpointEnds, one.id, now, now.Add(blamed))
	e.site.noteOverfull(one)
	return one.process.Signal(syscall.SIGKILL)
}

// freeze stands the present endpoint still for a time.
func (e *endpoint) freeze(span time.Duration) error {
	one := e.current()
	from := time.Now()
	if err := one.process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(span)
	e.site.notes.disrupt(ledger.EndpointEnds, one.id, from, time.Now().Add(blamed))
	return one.process.Signal(syscall.SIGCONT)
}

func (e *endpoint) close() {
	one := e.current()
	if one == nil {
		return
	}
	one.asked.Store(true)
	e.site.noteOverfull(one)
	one.process.Terminate(endLimit)
}
