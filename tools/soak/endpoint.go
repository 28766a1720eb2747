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
	// drainTime is how long an endpoint still serves after the store has acknowledged its departure, as in the settings of the
	// instances. The endpoint ends drainExtra later than that.
	drainTime  = 2 * time.Second
	drainExtra = 3 * time.Second
	// answerOnlyNotice is how long an endpoint announces its departure only in its answers, before the store is updated.
	answerOnlyNotice = 6 * time.Second
	// entryExpiry is the time without heartbeats after which the platform removes the entry of an endpoint.
	entryExpiry = 3 * platformstandin.HeartbeatInterval
	// replaceDelay is the time from the kill of an endpoint to the start of another one.
	replaceDelay = 500 * time.Millisecond
	// blameWindow is how long after its end an endpoint is accepted as the cause of a failed request.
	blameWindow = 3 * time.Second
	// modelSlots and plainSlots are the numbers of requests that a model endpoint and a plain endpoint run at once.
	modelSlots = 16
	plainSlots = 8
)

// endpoint is a slot of the site in which successive endpoint processes run.
type endpoint struct {
	site  *site
	index int
	ip    string

	mutex   sync.Mutex
	count   int
	running *endpointProcess
	// releases is the number of newer software versions since the begin.
	releases int
}

// endpointProcess is one process of an endpoint.
type endpointProcess struct {
	*outside.EndpointHandle

	id      string
	process *processes.Process
	// ending reports whether the soak has ended the process; an exit without it is a crash.
	ending atomic.Bool
}

// startNext starts the next process and sends it the versions of the adapters. The previous process goes on until it is ended.
// The versions are sent without the endpoint's mutex, because the operator calls endpoint.current while it holds its own mutex.
func (e *endpoint) startNext() error {
	started, err := e.start()
	if err != nil {
		return err
	}
	return e.site.operator.sendVersions(started)
}

// start starts the next process and returns when it answers control calls.
func (e *endpoint) start() (*endpointProcess, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	ports, err := platformstandin.FreePorts([]string{e.ip})
	if err != nil {
		return nil, err
	}
	e.count++
	id := fmt.Sprintf("i-%d-%d", e.index, e.count)
	control := fmt.Sprintf("%s:%d", e.ip, ports.Callers)
	arguments := []string{
		"endpoint", "--control", control, "--store", e.site.storeControl(), "--id", id, "--hall", hall(e.index, e.site.args.Halls),
		"--journal", filepath.Join(e.site.folder, id+".runs.jsonl"),
		"--until-close", fmt.Sprint(e.site.args.UntilClose), "--cut-off", fmt.Sprint(e.site.args.CutOff),
	}
	software := e.software()
	if e.servesPlain() {
		arguments = append(arguments, "--slots", fmt.Sprint(plainSlots))
	} else {
		arguments = append(arguments, "--slots", fmt.Sprint(modelSlots), "--model", platformstandin.Model, "--software", software)
	}
	process, err := processes.Start(processes.Command{Name: id, Program: e.site.self, Folder: e.site.folder, Arguments: arguments})
	if err != nil {
		return nil, err
	}
	e.running = &endpointProcess{EndpointHandle: outside.NewEndpointHandle(control), id: id, process: process}
	up := func() bool {
		_, err := e.running.Overfull()
		return err == nil
	}
	if !processes.Poll(startTimeout, up) {
		return nil, fmt.Errorf("endpoint %s does not come up", id)
	}
	if !e.servesPlain() {
		e.site.recorder.addEndpoint(id, software)
	}
	return e.running, nil
}

// servesPlain reports whether the endpoint serves the plain service.
func (e *endpoint) servesPlain() bool {
	return e.index%plainServiceInterval == plainServiceInterval-1
}

// software returns the software version of the next process. The caller holds the mutex.
func (e *endpoint) software() string {
	return fmt.Sprintf("v1.%d", e.softwareNumber())
}

// generation returns the number of the present software version.
func (e *endpoint) generation() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.softwareNumber()
}

// softwareNumber returns the number of the software version of the next process. The caller holds the mutex.
func (e *endpoint) softwareNumber() int {
	rank := e.index - e.index/plainServiceInterval
	return rank%e.site.args.Software + e.releases
}

// release replaces the current process by one of the next software version.
func (e *endpoint) release(leave func(*endpointProcess) error) error {
	e.mutex.Lock()
	e.releases++
	e.mutex.Unlock()
	return e.drain(leave)
}

func (e *endpoint) current() *endpointProcess {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.running
}

// drain makes the current process leave through the given function and starts another one. The process that leaves is killed
// drainTime + drainExtra after its departure.
func (e *endpoint) drain(leave func(*endpointProcess) error) error {
	leaving := e.current()
	e.site.recorder.endEndpoint(leaving.id)
	if err := leave(leaving); err != nil {
		return err
	}
	e.site.recorder.addDeparture(leaving.id, time.Now())
	time.AfterFunc(drainTime+drainExtra, func() { e.site.logFailure("end of an endpoint", e.end(leaving)) })
	return e.startNext()
}

// leaveByAnswers makes the current process announce its departure in its answers, answerOnlyNotice before it updates the store.
func (e *endpoint) leaveByAnswers() error {
	leaving := e.current()
	e.site.recorder.endEndpoint(leaving.id)
	if err := leaving.SetFaults(platformstandin.WorkerFaults{Says: platformstandin.Notice{Leaving: true}}); err != nil {
		return err
	}
	time.Sleep(answerOnlyNotice)
	if e.current() != leaving || leaving.process.HasExited() {
		return nil
	}
	return e.drain(func(one *endpointProcess) error { return one.Drain() })
}

// kill kills the current process and starts another one. The entry of the killed process is removed after entryExpiry.
func (e *endpoint) kill() error {
	killed := e.current()
	if err := e.end(killed); err != nil {
		return err
	}
	time.AfterFunc(entryExpiry, func() {
		e.site.logFailure("removal of an entry", e.site.storeHandle.Remove(platformstandin.EndpointKey(killed.id)))
	})
	time.Sleep(replaceDelay)
	return e.startNext()
}

// end kills a process of the endpoint, unless it has exited, and records the disruption.
func (e *endpoint) end(one *endpointProcess) error {
	one.ending.Store(true)
	e.site.recorder.endEndpoint(one.id)
	if one.process.HasExited() {
		return nil
	}
	now := time.Now()
	e.site.recorder.addDisruption(ledger.EndpointEnds, one.id, now, now.Add(blameWindow))
	e.site.recordOverfull(one)
	return one.process.Signal(syscall.SIGKILL)
}

// freeze suspends the current process for the span.
func (e *endpoint) freeze(span time.Duration) error {
	one := e.current()
	from := time.Now()
	if err := one.process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(span)
	e.site.recorder.addDisruption(ledger.EndpointEnds, one.id, from, time.Now().Add(blameWindow))
	return one.process.Signal(syscall.SIGCONT)
}

func (e *endpoint) close() {
	one := e.current()
	if one == nil {
		return
	}
	one.ending.Store(true)
	e.site.recordOverfull(one)
	one.process.Terminate(stopTimeout)
}
