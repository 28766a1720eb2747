//go:build review

package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/shelfledge/shelfledge/platform"
	"github.com/shelfledge/shelfledge/tests/platformstandin"
)

// Entry is one process of the entry program, with the settings of one machine.
type Entry struct {
	Name, IP, Zone string
	Ports          platformstandin.Ports
	program        string
	settings       string
	log            *os.File
	command        *exec.Cmd
	exited         chan struct{}
}

// Callers returns the address at which the process takes callers' requests.
func (e *Entry) Callers() string { return fmt.Sprintf("%s:%d", e.IP, e.Ports.Callers) }

// NewEntries returns the processes of a deployment, one for each zone, on loopback addresses; none is started. The function returns the
// address by which a process reaches the store.
func NewEntries(program, folder string, zones []string, ipFormat string, store func(i int) string) ([]*Entry, error) {
	var ips []string
	for i := range zones {
		ips = append(ips, fmt.Sprintf(ipFormat, i+1))
	}
	ports, err := platformstandin.FreePorts(ips)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, ip := range ips[:min(3, len(ips))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, ports.Callers))
	}
	var entries []*Entry
	for i, zone := range zones {
		e := &Entry{Name: fmt.Sprintf("edge-%s-%d", zone, i+1), IP: ips[i], Zone: zone, Ports: ports, program: program}
		settings := platformstandin.Settings(e.Name, zone, e.IP, ports, seeds, store(i))
		settings["limits"] = map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
		encoded, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return nil, err
		}
		e.settings = filepath.Join(folder, e.Name+".json")
		if err := os.WriteFile(e.settings, encoded, 0o600); err != nil {
			return nil, err
		}
		if e.log, err = os.Create(filepath.Join(folder, e.Name+".log")); err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// Start starts the process with the run line of deploy/system.toml.
func (e *Entry) Start() error {
	e.command = exec.Command(e.program, "--metrics-port", fmt.Sprint(e.Ports.Metrics))
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + e.settings}
	e.command.Stdout, e.command.Stderr = e.log, e.log
	e.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.command.Start(); err != nil {
		return err
	}
	e.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(e.command, e.exited)
	return nil
}

// Exited returns a channel that is closed when the process has ended.
func (e *Entry) Exited() <-chan struct{} { return e.exited }

// Signal sends a signal to the process.
func (e *Entry) Signal(signal syscall.Signal) { _ = e.command.Process.Signal(signal) }

// Kill ends the process and waits for its end.
func (e *Entry) Kill() {
	if e.command == nil || e.command.Process == nil {
		return
	}
	e.Signal(syscall.SIGCONT)
	e.Signal(syscall.SIGKILL)
	<-e.exited
}

// Ready asks the process whether it is ready.
func (e *Entry) Ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/readyz", e.IP, e.Ports.Ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all processes are ready.
func AwaitReady(entries []*Entry, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, e := range entries {
		for !e.Ready() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
