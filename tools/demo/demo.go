// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/shelfledge/shelfledge/modules/daemon/instancelist"
	"github.com/shelfledge/shelfledge/tests/standin"
)

// places is what the stand-in process says of itself, and later of what it saw.
type places struct {
	Control netip.AddrPort         `json:"control"`
	KV      netip.AddrPort         `json:"kv"`
	List    netip.AddrPort         `json:"list"`
	Plain   netip.AddrPort         `json:"plain"`
	Engines []*standin.EngineEntry `json:"engines"`
	Runs    map[string]int         `json:"runs"`
	Broken  []string               `json:"broken"`
	Loads   int                    `json:"loads"`
	Evicted int                    `json:"evicted"`
}

// demo holds the processes and what became of the requests.
type demo struct {
	arguments
	folder  string
	stand   *exec.Cmd
	places  places
	daemons []*process
	results []result
	report  places
}

// process is one daemon.
type process struct {
	place   standin.InstancePlace
	command *exec.Cmd
	stopped bool
	exited  chan error
}

const (
	readyLimit = 30 * time.Second
	stopLimit  = 40 * time.Second
)

func (d *demo) play() error {
	folder, err := os.MkdirTemp("", "shelfledge-demo-")
	if err != nil {
		return fmt.Errorf("folder: %w", err)
	}
	d.folder = folder
	if err := d.startStandins(); err != nil {
		return err
	}
	for _, id := range []string{"h1-i1", "h1-i2", "h2-i1", "h2-i2"} {
		if err := d.startDaemon(id); err != nil {
			return err
		}
	}
	if err := d.publish(); err != nil {
		return err
	}
	for _, p := range d.daemons {
		if err := p.waitReady(); err != nil {
			return err
		}
	}
	if err := d.register(); err != nil {
		return err
	}
	if err := d.sendAll(); err != nil {
		return err
	}
	return d.readReport()
}

func (d *demo) program(name string) string {
	return filepath.Join(d.Bin, name)
}

func (d *demo) startStandins() error {
	d.stand = exec.Command(d.program("standin"), "--bases", "base-a,base-b", "--engines", "4", "--slots", "4", "--unfenced-every", "4")
	d.stand.Stderr = os.Stderr
	out, err := d.stand.StdoutPipe()
	if err != nil {
		return fmt.Errorf("stand-ins: %w", err)
	}
	if err := d.stand.Start(); err != nil {
		return fmt.Errorf("stand-ins: %w", err)
	}
	line, err := bufio.NewReader(out).ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("stand-ins: %w", err)
	}
	return json.Unmarshal(line, &d.places)
}

// freePort asks the system for a port and lets it go again for the daemon to take.
func freePort() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("port: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (d *demo) startDaemon(id string) error {
	p := &process{place: standin.InstancePlace{ID: id, Hall: id[:2]}, exited: make(chan error, 1)}
	for _, at := range []*netip.AddrPort{&p.place.Callers, &p.place.Operators, &p.place.Peers} {
		port, err := freePort()
		if err != nil {
			return err
		}
		*at = port
	}
	cluster := &standin.Cluster{
		Options: standin.ClusterOptions{
			Halls: []string{"h1", "h2"}, Slots: 4, MaxBatch: 16, Step: 20 * time.Millisecond, Load: 300 * time.Millisecond, StoreRate: 8, StoreAtOnce: 4,
		},
		Engines: d.places.Engines, KVAddress: d.places.KV, ListAddress: d.places.List, PlainAddress: d.places.Plain,
	}
	file := filepath.Join(d.folder, id+".json")
	if err := os.WriteFile(file, []byte(cluster.SettingsText(p.place, nil)), 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	p.command = exec.Command(d.program("shelfledged"), "--settings", file)
	p.command.Stderr = io.Discard
	if d.Verbose {
		p.command.Stderr = os.Stderr
	}
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("daemon %s: %w", id, err)
	}
	go func() { p.exited <- p.command.Wait() }()
	d.daemons = append(d.daemons, p)
	return nil
}

// publish puts the daemons into the platform's list.
func (d *demo) publish() error {
	var l instancelist.List
	for _, p := range d.daemons {
		if !p.stopped {
			l.Entries = append(l.Entries, standin.ListEntry(p.place))
		}
	}
	body, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	return put("http://"+d.places.List.String()+"/instances", body)
}

func put(url string, body []byte) error {
	q, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("put: %w", err)
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return fmt.Errorf("put: %w", err)
	}
	return resp.Body.Close()
}

func (p *process) waitReady() error {
	until := time.Now().Add(readyLimit)
	for time.Now().Before(until) {
		resp, err := http.Get("http://" + p.place.Callers.String() + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("daemon %s does not become ready", p.place.ID)
}

// register creates the adapters, two versions each, and a service, with the operators' tool.
func (d *demo) register() error {
	var text strings.Builder
	for i := range d.Adapters {
		fmt.Fprintf(&text, "create adapter fare-%03d base base-%c version 1 source weights/fare-%03d-1;\n", i, 'a'+i%2, i)
		fmt.Fprintf(&text, "create version fare-%03d@2 source weights/fare-%03d-2;\n", i, i)
	}
	text.WriteString("create service desk as fare-000@1 90%, fare-002@2 10%;\n")
	key := filepath.Join(d.folder, "key")
	file := filepath.Join(d.folder, "adapters.txt")
	for name, content := range map[string]string{key: standin.OperatorKey, file: text.String()} {
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			return fmt.Errorf("adapters: %w", err)
		}
	}
	out, err := exec.Command(d.program("shelfctl"), "--address", d.daemons[0].place.Operators.String(), "--key-file", key, "--wait", "10s",
		"run", "-f", file).CombinedOutput()
	if err != nil {
		return fmt.Errorf("shelfctl: %w: %s", err, out)
	}
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	fmt.Println("shelfctl:", lines[0])
	for _, line := range lines[max(1, len(lines)-2):] {
		fmt.Println("shelfctl:", line)
	}
	return nil
}

// stop asks a daemon to stop by plan.
func (p *process) stop() error {
	p.stopped = true
	return p.command.Process.Signal(syscall.SIGTERM)
}

func (p *process) wait() error {
	select {
	case err := <-p.exited:
		return err
	case <-time.After(stopLimit):
		return errors.New("daemon " + p.place.ID + " does not stop")
	}
}

func (d *demo) readReport() error {
	resp, err := http.Get("http://" + d.places.Control.String() + "/report")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(&d.report)
}

// close ends every process that was started here.
func (d *demo) close() {
	for _, p := range d.daemons {
		if !p.stopped {
			_ = p.stop()
		}
	}
	for _, p := range d.daemons {
		if err := p.wait(); err != nil {
			_ = p.command.Process.Kill()
		}
	}
	if d.stand != nil && d.stand.Process != nil {
		_ = d.stand.Process.Signal(syscall.SIGTERM)
		_ = d.stand.Wait()
	}
	_ = os.RemoveAll(d.folder)
}
