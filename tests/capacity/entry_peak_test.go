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

// A peak is that of a process of its own, so that what the store or the peer takes is not in it: this program starts itself with a
// role, which writes a line for each step and goes on when it reads one.
const (
	roleVariable   = "CAPACITY_ROLE"
	numberVariable = "CAPACITY_NUMBER"
	sourceVariable = "CAPACITY_SOURCE"
	roleStore      = "store"
	rolePeer       = "peer"
	roleReader     = "reader"
	roleReceiver   = "receiver"
	roleEntry      = "entry"
	// collectorPercent is that of the entry program (services/entry/process).
	collectorPercent = 50
	peakTimeout      = 20 * time.Second
	// hugeRoutes give a value whose answer is just below maxStoreAnswer, 16 MiB.
	hugeRoutes = 66_000
)

func TestMain(m *testing.M) {
	roles := map[string]func(){roleStore: playStore, rolePeer: playPeer, roleReader: playReader, roleReceiver: playReceiver, roleEntry: playEntry}
	if role, ok := roles[os.Getenv(roleVariable)]; ok {
		role()
		return
	}
	os.Exit(m.Run())
}

// BenchmarkEntryCapacityPeak prints the peak of a process that reads a configuration and puts it in force: before it, after the first one,
// and after a second one of the same size, while the first is in force. HWM is the resident memory as the system counts it.
func BenchmarkEntryCapacityPeak(b *testing.B) {
	cases := []struct {
		name           string
		source, reader string
		routes         int
	}{
		{"from the store, 2,000 routes", roleStore, roleReader, entryRoutes},
		{"from the store, 1 MB", roleStore, roleReader, largestValueRoutes},
		{"from the store, the largest answer", roleStore, roleReader, hugeRoutes},
		{"from a peer, 2,000 routes", rolePeer, roleReceiver, entryRoutes},
		{"from a peer, 1 MB", rolePeer, roleReceiver, largestValueRoutes},
	}
	for _, one := range cases {
		b.Run(one.name, func(b *testing.B) {
			for b.Loop() {
				source := startPlayer(b, one.source, one.routes, "")
				reader := startPlayer(b, one.reader, one.routes, source.line())
				before, first := reader.peak(), reader.peak()
				source.next()
				second := reader.peak()
				b.ReportMetric(before.Resident, "KB-HWM-before")
				b.ReportMetric(first.Resident, "KB-HWM-first")
				b.ReportMetric(second.Resident, "KB-HWM-second")
				b.ReportMetric(second.Heap, "KB-heap-obtained")
				reader.end()
				source.end()
			}
		})
	}
}

// peak is what a process has taken at the most since its start, in kilobytes.
type peak struct {
	Resident float64
	// Heap is what the runtime has obtained for the heap.
	Heap float64
}

// player is a process with a role.
type player struct {
	command *exec.Cmd
	input   io.WriteCloser
	output  *bufio.Reader
}

func startPlayer(b *testing.B, role string, number int, source string) *player {
	program, err := os.Executable()
	must(err)
	ctx, cancel := context.WithTimeout(context.Background(), peakTimeout)
	b.Cleanup(cancel)
	p := &player{command: exec.CommandContext(ctx, program)}
	p.command.Env = append(os.Environ(), roleVariable+"="+role, numberVariable+"="+strconv.Itoa(number), sourceVariable+"="+source)
	p.command.Stderr = os.Stderr
	p.input, err = p.command.StdinPipe()
	must(err)
	output, err := p.command.StdoutPipe()
	must(err)
	p.output = bufio.NewReader(output)
	must(p.command.Start())
	return p
}

func (p *player) line() string {
	line, err := p.output.ReadString('\n')
	must(err)
	return strings.TrimSpace(line)
}

func (p *player) peak() peak {
	var told peak
	must(json.Unmarshal([]byte(p.line()), &told))
	return told
}

func (p *player) next() {
	_, err := io.WriteString(p.input, "\n")
	must(err)
}

func (p *player) end() {
	must(p.input.Close())
	must(p.command.Wait())
}

// playedNumber is the number that a role is given: of routes, or a port.
func playedNumber() int {
	number, err := strconv.Atoi(os.Getenv(numberVariable))
	must(err)
	return number
}

// waitLine returns at the next line of the input, false at its end.
func waitLine(input *bufio.Reader) bool {
	_, err := input.ReadString('\n')
	return err == nil
}

// playStore is the platform's store with all endpoints; it takes a newer configuration for each line.
func playStore() {
	input := bufio.NewReader(os.Stdin)
	service := standin.NewStore()
	defer service.Close()
	service.Put("op/config", json.RawMessage(configurationValue(1, playedNumber())))
	for i := range entryEndpoints {
		service.Put("servers/"+string(entryEndpointID(i)), endpointValue(i))
	}
	fmt.Println(service.Address())
	for version := int64(2); waitLine(input); version++ {
		service.Put("op/config", json.RawMessage(configurationValue(version, playedNumber())))
	}
}

// playPeer is an instance that passes its configuration on, once at once and a newer one for each line.
func playPeer() {
	input := bufio.NewReader(os.Stdin)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	fmt.Println(listener.Addr())
	conn, err := listener.Accept()
	must(err)
	stream := peerstream.New[wire.Message](conn)
	for version := int64(1); ; version++ {
		must(stream.Send(viewWith(configurationItem(version, playedNumber()))))
		if !waitLine(input) {
			return
		}
	}
}

// playReader is an instance that reads its configuration from the store, then watches it.
func playReader() {
	held := beginPlay()
	client := platform.NewStore(netip.MustParseAddrPort(os.Getenv(sourceVariable)))
	ctx, cancel := context.WithTimeout(context.Background(), peakTimeout)
	defer cancel()
	items, revision, err := client.ReadAll(ctx, "op/config", peakTimeout)
	must(err)
	held.take(items)
	events, _, err := client.Watch(ctx, "op/config", revision, peakTimeout)
	must(err)
	held.take([]store.Item{events[len(events)-1].Item})
	waitLine(bufio.NewReader(os.Stdin))
}

// playReceiver is an instance to which its configuration is passed on.
func playReceiver() {
	held := beginPlay()
	conn, err := net.Dial("tcp4", os.Getenv(sourceVariable))
	must(err)
	stream := peerstream.New[wire.Message](conn)
	defer stream.Close()
	for range 2 {
		message, err := stream.Receive(peakTimeout, time.Now)
		must(err)
		held.take(message.View.Items)
	}
	waitLine(bufio.NewReader(os.Stdin))
}

// inForce is what an instance keeps of the operators' keys.
type inForce struct {
	keys    *follow.Keys
	current *deployment.Configuration
}

func beginPlay() *inForce {
	debug.SetGCPercent(collectorPercent)
	tellPeak()
	return &inForce{keys: follow.NewKeys()}
}

// take puts a configuration in force as the coordinator does, and tells the peak.
func (f *inForce) take(items []store.Item) {
	for _, item := range items {
		if !f.keys.Put(item) {
			panic("an old configuration")
		}
		f.current = parsed(item.Value)
	}
	tellPeak()
}

func tellPeak() {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	told, err := json.Marshal(peak{Resident: residentPeak(), Heap: float64(m.HeapSys-m.HeapReleased) / kilobyte})
	must(err)
	fmt.Println(string(told))
}

// residentPeak is the greatest resident memory of this process.
func residentPeak() float64 {
	return residentPeakOf("self")
}

// residentPeakOf is that of a process, in kilobytes as the system tells it (of 1,024 bytes).
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
	panic("no " + field)
}
