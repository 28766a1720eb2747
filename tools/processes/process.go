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

// pollInterval is the pause between two checks of Poll.
const pollInterval = 50 * time.Millisecond

// Command describes the process to start.
type Command struct {
	// Name is the name of the process and, without extension, of its settings file and log file in Folder.
	Name    string
	Program string
	Folder  string
	// Settings is the content of the settings file, whose path is passed as --settings; nil for a program without one.
	Settings  []byte
	Arguments []string
}

// Process is a child process.
type Process struct {
	command *exec.Cmd
	exited  chan struct{}
	exitErr error
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
		// The error of Start is reported; nothing was written to the log file.
		_ = log.Close()
		return nil, fmt.Errorf("start process %s: %w", c.Name, err)
	}
	go p.wait(log)
	return p, nil
}

func (p *Process) wait(log *os.File) {
	p.exitErr = p.command.Wait()
	// The child process has its own handle of the log file, so an error of Close loses no output.
	_ = log.Close()
	close(p.exited)
}

// PID returns the process ID.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Signal sends a signal to the process. It returns an error if the process has ended.
func (p *Process) Signal(signal syscall.Signal) error {
	return p.command.Process.Signal(signal)
}

// Exited returns a channel that is closed when the process has ended.
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

// Err returns how the process ended, nil for exit code 0. It may be called only after Exited is closed.
func (p *Process) Err() error {
	return p.exitErr
}

// Terminate sends SIGTERM to the process and kills it if it has not ended within the limit.
func (p *Process) Terminate(limit time.Duration) {
	// Signaling a process that has already ended fails; there is nothing to stop then.
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(limit):
		_ = p.Signal(syscall.SIGKILL)
		<-p.exited
	}
}

// Poll checks a condition repeatedly until it holds or the limit has passed, and reports whether it holds.
func Poll(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// RespondsOK reports whether a GET request to the URL is answered with status 200.
func RespondsOK(client *http.Client, url string) bool {
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	// The body is not needed.
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
