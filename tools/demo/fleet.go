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

// readyLimit and stopLimit bound the start and the planned stop of a process; both are far beyond what was seen.
const (
	readyLimit = 30 * time.Second
	stopLimit  = 40 * time.Second
)

// process is one daemon or entry.
type process struct {
	*processes.Process

	name string
	// callers is the HOST:PORT of its callers, ready the URL that tells whether it is ready.
	callers string
	ready   string
	leaving atomic.Bool
}

// start runs a program with a settings file, and with its output in a log file beside it.
func (p *process) start(program, folder string, settings []byte, arguments ...string) error {
	started, err := processes.Start(processes.Command{Name: p.name, Program: program, Folder: folder, Settings: settings, Arguments: arguments})
	if err != nil {
		return err
	}
	p.Process = started
	return nil
}

// stop asks the process to stop by plan; new requests are kept away from it, as the balancer does.
func (p *process) stop() error {
	p.leaving.Store(true)
	return p.Signal(syscall.SIGTERM)
}

// fleet is the processes of one part.
type fleet struct {
	processes []*process
	turn      atomic.Int64
}

// next gives the process that the balancer sends a request to.
func (f *fleet) next() *process {
	for {
		p := f.processes[int(f.turn.Add(1))%len(f.processes)]
		if !p.leaving.Load() {
			return p
		}
	}
}

func (f *fleet) waitReady() error {
	for _, p := range f.processes {
		if !processes.Poll(readyLimit, func() bool { return processes.Answers(http.DefaultClient, p.ready) }) {
			return fmt.Errorf("%s does not become ready", p.name)
		}
	}
	return nil
}

// close stops the processes by plan, and kills those that do not end in time.
func (f *fleet) close() {
	for _, p := range f.processes {
		// A process that has ended needs no signal.
		_ = p.stop()
	}
	for _, p := range f.processes {
		p.End(stopLimit)
	}
}
