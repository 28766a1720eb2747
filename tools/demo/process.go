// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// readyLimit and stopLimit bound the start and the planned stop of a process; both are far beyond what was seen.
	readyLimit = 30 * time.Second
	stopLimit  = 40 * time.Second
	pollPause  = 50 * time.Millisecond
)

// process is one daemon or entry.
type process struct {
	name string
	// callers is the HOST:PORT of its callers, ready the URL that tells whether it is ready.
	callers string
	ready   string
	command *exec.Cmd
	exited  chan struct{}
	leaving atomic.Bool
}

// start runs a program with a settings file, and with its output in a log file beside it.
func (p *process) start(program, folder string, settings []byte, arguments ...string) error {
	file := filepath.Join(folder, p.name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(folder, p.name+".log"))
	if err != nil {
		return err
	}
	p.command = exec.Command(program, append([]string{"--settings", file}, arguments...)...)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	p.exited = make(chan struct{})
	go func() {
		_ = p.command.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	return nil
}

// stop asks the process to stop by plan; new requests are kept away from it, as the balancer does.
func (p *process) stop() error {
	p.leaving.Store(true)
	return p.command.Process.Signal(syscall.SIGTERM)
}

// poll asks again until a condition holds, at most for a time.
func poll(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); !condition(); time.Sleep(pollPause) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
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
		ready := func() bool {
			response, err := http.Get(p.ready)
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		}
		if !poll(readyLimit, ready) {
			return fmt.Errorf("%s does not become ready", p.name)
		}
	}
	return nil
}

// close stops the processes by plan, and kills those that do not end in time.
func (f *fleet) close() {
	for _, p := range f.processes {
		_ = p.stop()
	}
	late := time.After(stopLimit)
	for _, p := range f.processes {
		select {
		case <-p.exited:
		case <-late:
			_ = p.command.Process.Kill()
		}
	}
}
