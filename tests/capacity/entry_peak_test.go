// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package capacity_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/platform"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// Peaks are measured in a separate process, so that they do not include the memory of the store or of the peer. The test program starts
// itself again with a role; the child process writes a line after each step and continues when it reads a line.
const (
	roleEnv      = "CAPACITY_ROLE"
	numberEnv    = "CAPACITY_NUMBER"
	sourceEnv    = "CAPACITY_SOURCE"
	roleStore    = "store"
	rolePeer     = "peer"
	roleReader   = "reader"
	roleReceiver = "receiver"
	roleEntry    = "entry"
	// gcPercent is the value of gcPercent in the entry program (services/entry/process).
	gcPercent    = 50
	childTimeout = 20 * time.Second
	// maxAnswerRoutes is the number of routes whose configuration gives an answer of the store just below maxStoreAnswerBytes, 16 MiB.
	maxAnswerRoutes = 66_000
)

func TestMain(m *testing.M) {
	roles := map[string]func(){roleStore: runStore, rolePeer: runPeer, roleReader: runReader, roleReceiver: runReceiver, roleEntry: runEntry}
	if role, ok := roles[os.Getenv(roleEnv)]; ok {
		role()
		return
	}
	os.Exit(m.Run())
}

// BenchmarkEntryCapacityPeak reports the peak memory of a process that reads a configuration and puts it in force: before the first
// configuration, after it, and after a second one of the same size that is read while the first is in force. HWM is the peak resident
// memory as the kernel counts it.
func BenchmarkEntryCapacityPeak(b *testing.B) {
	cases := []struct {
		name           string
		source, reader string
		routes         int
	}{
		{"from the store, 2,000 routes", roleStore, roleReader, entryRoutes},
		{"from the store, 1 MB", roleStore, roleReader, largestValueRoutes},
		{"from the store, the largest answer", roleStore, roleReader, maxAnswerRoutes},
		{"from a peer, 2,000 routes", rolePeer, roleReceiver, entryRoutes},
		{"from a peer, 1 MB", rolePeer, roleReceiver, largestValueRoutes},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				source := startChild(b, c.source, c.routes, "")
				reader := startChild(b, c.reader, c.routes, source.readLine())
				before, first := reader.readPeak(), reader.readPeak()
				source.triggerNext()
				second := reader.readPeak()
				b.ReportMetric(before.Resident, "KB-HWM-before")
				b.ReportMetric(first.Resident, "KB-HWM-first")
				b.ReportMetric(second.Resident, "KB-HWM-second")
				b.ReportMetric(second.Heap, "KB-heap-obtained")
				reader.stop()
				source.stop()
			}
		})
	}
}

// memoryPeak is the memory use of a process, in kilobytes. Resident is the greatest resident memory since its start.
type memoryPeak struct {
	Resident float64
	// Heap is the memory that the Go runtime has obtained for the heap and not released.
	Heap float64
}

// childProcess is a process of this test program that runs a role.
type childProcess struct {
	command *exec.Cmd
	input   io.WriteCloser
	output  *bufio.Reader
}

func startChild(b *testing.B, role string, number int, source string) *childProcess {
	program, err := os.Executable()
	must(err)
	ctx, cancel := context.WithTimeout(context.Background(), childTimeout)
	b.Cleanup(cancel)
	p := &childProcess{command: exec.CommandContext(ctx, program)}
	p.command.Env = append(os.Environ(), roleEnv+"="+role, numberEnv+"="+strconv.Itoa(number), sourceEnv+"="+source)
	p.command.Stderr = os.Stderr
	p.input, err = p.command.StdinPipe()
	must(err)
	output, err := p.command.StdoutPipe()
	must(err)
	p.output = bufio.NewReader(output)
	must(p.command.Start())
	return p
}

func (p *childProcess) readLine() string {
	line, err := p.output.ReadString('\n')
	must(err)
	return strings.TrimSpace(line)
}

func (p *childProcess) readPeak() memoryPeak {
	var measured memoryPeak
	must(json.Unmarshal([]byte(p.readLine()), &measured))
	return measured
}

func (p *childProcess) triggerNext() {
	_, err := io.WriteString(p.input, "\n")
	must(err)
}

func (p *childProcess) stop() {
	must(p.input.Close())
	must(p.command.Wait())
}

// numberArgument returns the numeric argument of a role: a number of routes, or a port.
func numberArgument() int {
	number, err := strconv.Atoi(os.Getenv(numberEnv))
	must(err)
	return number
}

// waitForLine waits for the next line of the input and reports whether there was one before the end of the input.
func waitForLine(input *bufio.Reader) bool {
	_, err := input.ReadString('\n')
	return err == nil
}

// runStore serves the platform's store with all endpoints. It stores a newer configuration for each line of its input.
func runStore() {
	input := bufio.NewReader(os.Stdin)
	service := standin.NewStore()
	defer service.Close()
	service.Put("op/config", json.RawMessage(configurationValue(1, numberArgument())))
	for i := range entryEndpoints {
		service.Put("servers/"+string(entryEndpointID(i)), endpointValue(i))
	}
	fmt.Println(service.Address())
	for version := int64(2); waitForLine(input); version++ {
		service.Put("op/config", json.RawMessage(configurationValue(version, numberArgument())))
	}
}

// runPeer acts as an instance that relays its configuration: one on connection, and a newer one for each line of its input.
func runPeer() {
	input := bufio.NewReader(os.Stdin)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	fmt.Println(listener.Addr())
	conn, err := listener.Accept()
	must(err)
	stream := peerstream.New[wire.Message](conn)
	for version := int64(1); ; version++ {
		must(stream.Send(viewWithItems(configurationItem(version, numberArgument()))))
		if !waitForLine(input) {
			return
		}
	}
}

// runReader acts as an instance that reads its configuration from the store, then watches it.
func runReader() {
	state := newConfigurationState()
	client := platform.NewStore(netip.MustParseAddrPort(os.Getenv(sourceEnv)))
	ctx, cancel := context.WithTimeout(context.Background(), childTimeout)
	defer cancel()
	items, revision, err := client.ReadAll(ctx, "op/config", childTimeout)
	must(err)
	state.apply(items)
	events, _, err := client.Watch(ctx, "op/config", revision, childTimeout)
	must(err)
	state.apply([]store.Item{events[len(events)-1].Item})
	waitForLine(bufio.NewReader(os.Stdin))
}

// runReceiver acts as an instance that receives its configuration from a peer.
func runReceiver() {
	state := newConfigurationState()
	conn, err := net.Dial("tcp4", os.Getenv(sourceEnv))
	must(err)
	stream := peerstream.New[wire.Message](conn)
	defer stream.Close()
	for range 2 {
		message, err := stream.Receive(childTimeout, time.Now)
		must(err)
		state.apply(message.View.Items)
	}
	waitForLine(bufio.NewReader(os.Stdin))
}

// configurationState holds the operators' keys and the configuration in force of an instance.
type configurationState struct {
	keys    *follow.Keys
	current *deployment.Configuration
}

func newConfigurationState() *configurationState {
	debug.SetGCPercent(gcPercent)
	printPeak()
	return &configurationState{keys: follow.NewKeys()}
}

// apply puts a configuration in force as the coordinator does, then prints the memory peak.
func (s *configurationState) apply(items []store.Item) {
	for _, item := range items {
		if !s.keys.Put(item) {
			panic("configuration item is not newer than the stored one")
		}
		s.current = parseConfiguration(item.Value)
	}
	printPeak()
}

func printPeak() {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	measured, err := json.Marshal(memoryPeak{Resident: ownResidentPeak(), Heap: float64(m.HeapSys-m.HeapReleased) / kilobyte})
	must(err)
	fmt.Println(string(measured))
}

// ownResidentPeak returns the greatest resident memory of this process, in kilobytes of 1,024 bytes.
func ownResidentPeak() float64 {
	return residentPeakOf("self")
}

// residentPeakOf returns the greatest resident memory of a process, in kilobytes of 1,024 bytes as the kernel reports it.
func residentPeakOf(process string) float64 {
	const field = "VmHWM:"
	content, err := os.ReadFile("/proc/" + process + "/status")
	must(err)
	for _, line := range strings.Split(string(content), "\n") {
		if text, ok := strings.CutPrefix(line, field); ok {
			value, err := strconv.ParseFloat(strings.Fields(text)[0], 64)
			must(err)
			return value
		}
	}
	panic("missing field " + field)
}
