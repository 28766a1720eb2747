// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/shelfledge/shelfledge/tools/processes"
)

// readyTimeout and stopTimeout limit the start and the planned stop of a process; both far exceed the usual durations.
const (
	readyTimeout = 30 * time.Second
	stopTimeout  = 40 * time.Second
)

// process is a daemon or an entry process.
type process struct {
	*processes.Process

	name string
	// callers is the HOST:PORT at which it accepts requests; ready is the URL of its readiness check.
	callers string
	ready   string
	leaving atomic.Bool
}

// start starts a program with a settings file and with its output in a log file in the same folder.
func (p *process) start(program, folder string, settings []byte, arguments ...string) error {
	started, err := processes.Start(processes.Command{Name: p.name, Program: program, Folder: folder, Settings: settings, Arguments: arguments})
	if err != nil {
		return err
	}
	p.Process = started
	return nil
}

// stop starts a planned stop of the process and sends it no more requests, as a load balancer does.
func (p *process) stop() error {
	p.leaving.Store(true)
	return p.Signal(syscall.SIGTERM)
}

// processGroup is the group of processes of one part of the demo.
type processGroup struct {
	processes []*process
	nextIndex atomic.Int64
}

// nextProcess returns the next process that is not stopping, in turn, as a load balancer does.
func (f *processGroup) nextProcess() *process {
	for {
		p := f.processes[int(f.nextIndex.Add(1))%len(f.processes)]
		if !p.leaving.Load() {
			return p
		}
	}
}

func (f *processGroup) waitReady() error {
	for _, p := range f.processes {
		if !processes.Poll(readyTimeout, func() bool { return processes.RespondsOK(http.DefaultClient, p.ready) }) {
			return fmt.Errorf("%s did not become ready in time", p.name)
		}
	}
	return nil
}

// stopAll stops all processes and kills those that do not end within stopTimeout.
func (f *processGroup) stopAll() {
	for _, p := range f.processes {
		// Signaling a process that has already ended fails; there is nothing to stop then.
		_ = p.stop()
	}
	for _, p := range f.processes {
		p.Terminate(stopTimeout)
	}
}
