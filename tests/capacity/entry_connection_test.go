// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package capacity_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
	"github.com/shelfledge/shelfledge/modules/entry/upstream"
	"github.com/shelfledge/shelfledge/platform"
	"github.com/shelfledge/shelfledge/routers/entry/gateway"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/proxy"
)

const (
	// heldBody is the size of a body that is held whole, just below the proxy's bound of 256 KiB.
	heldBody = 250_000
	// openEvent is the size of an event of which a resumable stream brings the begin only.
	openEvent = 100_000
	caller    = "caller.example"
)

// BenchmarkEntryCapacityConnection prints what one connection, or one request in flight, takes; what the test's own side of it
// takes is in it, some hundreds of bytes.
func BenchmarkEntryCapacityConnection(b *testing.B) {
	cases := []struct {
		name  string
		count int
		make  func(b *testing.B, count int) any
	}{
		{"link of a peer, idle", entryMembers, idleLinks},
		{"caller's connection, idle", 500, func(b *testing.B, count int) any { return newEntryFront(b).idleCallers(count) }},
		{"caller's and endpoint's connection, idle", 500, func(b *testing.B, count int) any { return newEntryFront(b).idlePairs(count) }},
		{"stream in flight", 500, func(b *testing.B, count int) any { return newEntryFront(b).streams("stream", ": begun\n\n", count) }},
		{"resumable stream in flight, 100 KB of an event without an end", 200, func(b *testing.B, count int) any {
			return newEntryFront(b).streams("resumable", "id: 1\n\ndata: "+strings.Repeat("x", openEvent), count)
		}},
		{"request in flight with a body of 250 KB", 200, func(b *testing.B, count int) any { return newEntryFront(b).bodies(count) }},
	}
	for _, one := range cases {
		b.Run(one.name, func(b *testing.B) {
			for b.Loop() {
				used := bytesOf(func() any { return one.make(b, one.count) })
				b.ReportMetric(float64(used)/kilobyte/float64(one.count), "KB/one")
			}
		})
	}
}

// idleLinks makes the links of a planner; each has a goroutine that receives, as the coordinator's.
func idleLinks(b *testing.B, count int) any {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	b.Cleanup(func() { _ = listener.Close() })
	var kept []any
	for range count {
		dialed, err := net.Dial("tcp4", listener.Addr().String())
		must(err)
		accepted, err := listener.Accept()
		must(err)
		stream := peerstream.New[wire.Message](accepted)
		b.Cleanup(stream.Close)
		go func() { _, _ = stream.Receive(time.Hour, time.Now) }()
		kept = append(kept, dialed, stream)
	}
	return kept
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// entryFront is the entry's side of callers and endpoints with one endpoint that answers when it is told to.
type entryFront struct {
	callers netip.AddrPort
	conns   []net.Conn
	// taken gets each connection of the endpoint once a request has begun on it.
	taken chan net.Conn
}

func newEntryFront(b *testing.B) *entryFront {
	endpoint, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	front := &entryFront{taken: make(chan net.Conn), callers: freeAddress()}
	go front.serveEndpoint(endpoint)
	server := gateway.New(gateway.Options{
		Callers: front.callers, Ready: netip.MustParseAddrPort("127.0.0.1:0"), Handler: newEntryProxy(endpoint.Addr().String()),
		IsReady: func() bool { return true }, Limits: func() *deployment.Limits { return nil }, Now: time.Now, Log: quietLog(),
		ObserveConnection: func(string, int) {},
	})
	must(server.Start())
	b.Cleanup(func() {
		server.Close()
		_ = endpoint.Close()
		for _, conn := range front.conns {
			_ = conn.Close()
		}
	})
	return front
}

// freeAddress gives an address of the loopback on which nobody listens now.
func freeAddress() netip.AddrPort {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	must(listener.Close())
	return netip.MustParseAddrPort(listener.Addr().String())
}

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// newEntryProxy makes a proxy with a route of each kind, all to one endpoint.
func newEntryProxy(address string) *proxy.Service {
	route := func(name string, kind deployment.RouteKind, resumable bool) *deployment.Route {
		return &deployment.Route{
			Name: name, Host: caller, PathPrefix: "/" + name, Kind: kind, Resumable: resumable, MaxAttempts: 1, Timeout: time.Minute,
			TargetLatency: time.Minute, TargetPause: time.Minute, Backends: []deployment.Backend{{Service: serviceName, Weight: 1}},
		}
	}
	configuration := deployment.NewConfiguration(1, []*deployment.Route{
		route("safe", deployment.Safe, false), route("stream", deployment.Streaming, false), route("resumable", deployment.Streaming, true),
	}, map[string]*deployment.Service{serviceName: {Name: serviceName}}, deployment.Limits{})
	assignment := coordinator.Assignment{Endpoint: deployment.Endpoint{ID: "i-1", Service: serviceName, Address: netip.MustParseAddrPort(address)}}
	control := proxy.Control{
		Configuration: func() *deployment.Configuration { return configuration },
		Acquire: func(context.Context, *deployment.Request, []deployment.EndpointID) (coordinator.Assignment, error) {
			return assignment, nil
		},
		Finish:           func(*deployment.Request, coordinator.Assignment, directory.Outcome, bool) {},
		RecordCrash:      func(*deployment.Request, coordinator.Assignment) {},
		RecordUnanswered: func(*deployment.Request, coordinator.Assignment) {},
		RecordAnswered:   func(*deployment.Request) {},
		ApplyNotice:      func(coordinator.Assignment, time.Time, deployment.Notice) {},
		CountRequest:     func(string) {},
		TakeRetry:        func(string) bool { return false },
	}
	options := proxy.Options{
		Now: time.Now, Random: func() float64 { return 0 }, Log: quietLog(), Observe: func(proxy.Observation) {},
		ShouldRefuse: func(deployment.RouteKind) bool { return false }, Leaving: func() bool { return false },
	}
	client := upstream.NewClient(upstream.Options{MaxIdle: time.Minute, DialTimeout: time.Second, Now: time.Now})
	return proxy.New(options, control, client, platform.Dialect())
}

// serveEndpoint reads the begin of one request on each connection, with one goroutine and buffer for all.
func (f *entryFront) serveEndpoint(listener net.Listener) {
	buffer := make([]byte, 4<<10)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := conn.Read(buffer); err != nil {
			continue
		}
		f.taken <- conn
	}
}

// call sends the head of a request and what follows on a new connection.
func (f *entryFront) call(path string, body []byte) net.Conn {
	conn, err := net.Dial("tcp4", f.callers.String())
	must(err)
	f.conns = append(f.conns, conn)
	_, err = fmt.Fprintf(conn, "POST /%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", path, caller, len(body))
	must(err)
	_, err = conn.Write(body)
	must(err)
	return conn
}

// answered reads what comes first on a connection.
func answered(conn net.Conn) {
	var buffer [64]byte
	_, err := conn.Read(buffer[:])
	must(err)
}

func (f *entryFront) idleCallers(count int) any {
	for range count {
		answered(f.call("no-such-route", nil))
	}
	return f
}

// idlePairs has so many requests at once at the endpoint, which then answers them all.
func (f *entryFront) idlePairs(count int) any {
	taken := make([]net.Conn, 0, count)
	for range count {
		f.call("safe", nil)
		taken = append(taken, <-f.taken)
	}
	for i, conn := range taken {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok")
		must(err)
		answered(f.conns[i])
	}
	f.conns = append(f.conns, taken...)
	return f
}

// streams has so many streams that have begun and bring nothing more.
func (f *entryFront) streams(path, begin string, count int) any {
	for range count {
		conn := f.call(path, nil)
		taken := <-f.taken
		_, err := io.WriteString(taken, "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n"+begin)
		must(err)
		answered(conn)
		f.conns = append(f.conns, taken)
	}
	// What was written is read within this time by the proxies' own goroutines.
	time.Sleep(200 * time.Millisecond)
	return f
}

func (f *entryFront) bodies(count int) any {
	body := make([]byte, heldBody)
	for range count {
		f.call("safe", body)
		f.conns = append(f.conns, <-f.taken)
	}
	return f
}
