// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package processes

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// pollPause is the pause between two looks of Poll.
const pollPause = 50 * time.Millisecond

// Command says what to start.
type Command struct {
	// Name names the process, its settings file and its log file in the folder.
	Name    string
	Program string
	Folder  string
	// Settings is the content of the settings file, which the argument --settings names; nil for a program without one.
	Settings  []byte
	Arguments []string
}

// Process is a child process.
type Process struct {
	command *exec.Cmd
	exited  chan struct{}
	ended   error
}

// Start starts a child process; its output is appended to its log file.
func Start(c Command) (*Process, error) {
	arguments := c.Arguments
	if c.Settings != nil {
		file := filepath.Join(c.Folder, c.Name+".json")
		if err := os.WriteFile(file, c.Settings, 0o600); err != nil {
			return nil, err
		}
		arguments = append([]string{"--settings", file}, arguments...)
	}
	log, err := os.OpenFile(filepath.Join(c.Folder, c.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &Process{command: exec.Command(c.Program, arguments...), exited: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		// The first error says why; nothing was written to the log.
		_ = log.Close()
		return nil, fmt.Errorf("%s: %w", c.Name, err)
	}
	go p.wait(log)
	return p, nil
}

func (p *Process) wait(log *os.File) {
	p.ended = p.command.Wait()
	// The child holds the file itself: an error of closing it here loses nothing.
	_ = log.Close()
	close(p.exited)
}

// PID is the process's identifier in the system.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Signal sends a signal; one to a process that has ended is an error.
func (p *Process) Signal(signal syscall.Signal) error {
	return p.command.Process.Signal(signal)
}

// Exited is closed once the process has ended.
func (p *Process) Exited() <-chan struct{} {
	return p.exited
}

// HasExited reports whether the process has ended.
func (p *Process) HasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Err tells how the process ended, nil for exit code 0; it may be asked once Exited is closed.
func (p *Process) Err() error {
	return p.ended
}

// End asks the process to stop by plan and kills it if it has not ended after a time.
func (p *Process) End(limit time.Duration) {
	// A process that has ended needs no signal.
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(limit):
		_ = p.Signal(syscall.SIGKILL)
		<-p.exited
	}
}

// Poll asks again until a condition holds, at most for a time.
func Poll(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); !condition(); time.Sleep(pollPause) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// Answers reports whether a URL answers 200.
func Answers(client *http.Client, url string) bool {
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	// Only the status counts.
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
