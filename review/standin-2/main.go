//go:build review

// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command standin-2 plays the cases of the second review. It starts entry processes with the run line of the deploy file, between
// stand-ins of the platform's store, of workers and of clients, and judges only what these see.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func (r *recorder) printf(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// entry is one process of the program under review.
type entry struct {
	name, callers, ready string
	command              *exec.Cmd
}

// site is a small deployment on loopback addresses.
type site struct {
	folder, program string
	record          *recorder
	store           *platformstandin.Store
	entries         []*entry
}

func newSite(program string, record *recorder) (*site, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	return &site{folder: folder, program: program, record: record, store: platformstandin.NewStore()}, nil
}

// startEntries starts the entry processes and waits until they are ready.
func (s *site) startEntries(count int) error {
	var ips []string
	for i := range count {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", 21+i))
	}
	ports, err := platformstandin.FreePorts(ips)
	if err != nil {
		return err
	}
	for i, ip := range ips {
		e := &entry{
			name: fmt.Sprintf("edge-h%d-1", i+1), callers: fmt.Sprintf("%s:%d", ip, ports.Callers),
			ready: fmt.Sprintf("http://%s:%d/-/readyz", ip, ports.Ready),
		}
		settings, err := json.Marshal(platformstandin.Settings(e.name, fmt.Sprintf("h%d", i+1), ip, ports, nil, s.store.Address()))
		if err != nil {
			return err
		}
		file := filepath.Join(s.folder, e.name+".json")
		if err := os.WriteFile(file, settings, 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(s.folder, e.name+".log"))
		if err != nil {
			return err
		}
		e.command = exec.Command(s.program, "--metrics-port", fmt.Sprint(ports.Metrics))
		e.command.Env = append(os.Environ(), names.Settings+"="+file)
		e.command.Stdout, e.command.Stderr = log, log
		e.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := e.command.Start(); err != nil {
			return err
		}
		s.entries = append(s.entries, e)
		s.record.printf("%s started, clients at %s", e.name, e.callers)
	}
	return s.awaitReady(10 * time.Second)
}

func (s *site) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range s.entries {
			if response, err := client.Get(e.ready); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.entries) {
			s.record.printf("all machines are ready")
			return nil
		}
	}
	return errors.New("the machines were not ready in time")
}

// stop ends the processes that this site started, and keeps what they wrote if asked to.
func (s *site) stop() {
	for _, e := range s.entries {
		_ = e.command.Process.Signal(syscall.SIGTERM)
	}
	for _, e := range s.entries {
		ended := make(chan struct{})
		go func() { _ = e.command.Wait(); close(ended) }()
		select {
		case <-ended:
		case <-time.After(9 * time.Second):
			_ = e.command.Process.Kill()
			<-ended
		}
	}
	s.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// play is one case: it returns whether the rule was broken.
type play func(s *site, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"own503":   playOwn503,
	"lastbyte": playLastByte,
}

func main() {
	name := flag.String("case", "", "which case")
	program := flag.String("program", "target/shelfledge-entry", "the program under review")
	output := flag.String("record", "record.txt", "where the record is written")
	flag.Parse()
	os.Exit(run(*name, *program, *output))
}

func run(name, program, output string) int {
	chosen, known := plays[name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	file, err := os.Create(output)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	record := &recorder{file: file, started: time.Now()}
	s, err := newSite(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.stop()
	trouble := strings.TrimSpace(os.Getenv("TROUBLE")) != "0"
	broken, err := chosen(s, trouble)
	switch {
	case err != nil:
		record.printf("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		fmt.Println("the rule held")
		return exitHeld
	}
}
