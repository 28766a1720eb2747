// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/shelfledge/shelfledge/tools/processes"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
)

// socketCloseTimeout is how long an instance may take to close its callers' connections after the last caller has left.
const socketCloseTimeout = 5 * time.Second

// usages returns the resource usage of each instance after its callers have left.
func (s *site) usages() []ledger.Usage {
	var all []ledger.Usage
	for _, one := range s.instances {
		var usage ledger.Usage
		var failed error
		processes.Poll(socketCloseTimeout, func() bool {
			usage, failed = one.usage()
			return failed != nil || usage.CallerSockets == 0
		})
		if failed != nil {
			// An instance that is being restarted has no usage to measure.
			s.log.WithError(failed).WithField("instance", one.name).Debug("no usage")
			continue
		}
		all = append(all, usage)
	}
	return all
}

func (i *instance) usage() (ledger.Usage, error) {
	i.mutex.Lock()
	pid := i.process.PID()
	i.mutex.Unlock()
	usage := ledger.Usage{Instance: i.name, At: time.Now()}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return usage, err
	}
	usage.Descriptors = len(descriptors)
	if usage.PeakKB, err = peakKB(pid); err != nil {
		return usage, err
	}
	usage.CallerSockets, err = openSockets(netip.MustParseAddrPort(i.target().Callers))
	return usage, err
}

// peakKB returns the peak resident memory of a process in KB.
func peakKB(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(status), "\n") {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
		}
	}
	return 0, fmt.Errorf("no VmHWM of process %d", pid)
}

// Columns and states of /proc/net/tcp.
const (
	localColumn = 1
	stateColumn = 3
	established = "01"
	closeWait   = "08"
)

// openSockets returns the number of TCP connections at a local address that the local process has not closed.
func openSockets(local netip.AddrPort) (int, error) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	ip := local.Addr().As4()
	reversed := []byte{ip[3], ip[2], ip[1], ip[0]}
	address := fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(reversed)), local.Port())
	count := 0
	for _, line := range strings.Split(string(table), "\n") {
		columns := strings.Fields(line)
		if len(columns) > stateColumn && columns[localColumn] == address && (columns[stateColumn] == established || columns[stateColumn] == closeWait) {
			count++
		}
	}
	return count, nil
}
