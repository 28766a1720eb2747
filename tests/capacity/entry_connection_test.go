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
	// bufferedBodyBytes is the size of a request body that the proxy buffers completely, just below its limit of 256 KiB.
	bufferedBodyBytes = 250_000
	// partialEventBytes is how much of an incomplete event a resumable stream has sent.
	partialEventBytes = 100_000
	callerHost        = "caller.example"
)

// BenchmarkEntryCapacityConnection reports the memory that one connection or one request in flight uses. The result includes some hundreds
// of bytes for the test's own end of the connection.
func BenchmarkEntryCapacityConnection(b *testing.B) {
	cases := []struct {
		name  string
		count int
		make  func(b *testing.B, count int) any
	}{
		{"link of a peer, idle", entryMembers, openIdleLinks},
		{"caller's connection, idle", 500, func(b *testing.B, count int) any { return newGatewayFixture(b).openIdleCallers(count) }},
		{"caller's and endpoint's connection, idle", 500, func(b *testing.B, count int) any { return newGatewayFixture(b).openIdlePairs(count) }},
		{"stream in flight", 500, func(b *testing.B, count int) any {
			return newGatewayFixture(b).openStreams("stream", ": begun\n\n", count)
		}},
		{"resumable stream in flight, 100 KB of an incomplete event", 200, func(b *testing.B, count int) any {
			return newGatewayFixture(b).openStreams("resumable", "id: 1\n\ndata: "+strings.Repeat("x", partialEventBytes), count)
		}},
		{"request in flight with a body of 250 KB", 200, func(b *testing.B, count int) any { return newGatewayFixture(b).openBodies(count) }},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				used := memoryUsedBy(func() any { return c.make(b, c.count) })
				b.ReportMetric(float64(used)/kilobyte/float64(c.count), "KB/one")
			}
		})
	}
}

// openIdleLinks opens the peer links of a planner. Each link has a goroutine that receives, as in the coordinator.
func openIdleLinks(b *testing.B, count int) any {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	b.Cleanup(func() { _ = listener.Close() })
	var links []any
	for range count {
		dialed, err := net.Dial("tcp4", listener.Addr().String())
		must(err)
		accepted, err := listener.Accept()
		must(err)
		stream := peerstream.New[wire.Message](accepted)
		b.Cleanup(stream.Close)
		go func() { _, _ = stream.Receive(time.Hour, time.Now) }()
		links = append(links, dialed, stream)
	}
	return links
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// gatewayFixture is a gateway with a proxy, and one endpoint that answers only what the test writes to its connections.
type gatewayFixture struct {
	callersAddress netip.AddrPort
	openConns      []net.Conn
	// endpointConns receives each connection of the endpoint after the first bytes of a request have arrived on it.
	endpointConns chan net.Conn
}

func newGatewayFixture(b *testing.B) *gatewayFixture {
	endpoint, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	fixture := &gatewayFixture{endpointConns: make(chan net.Conn), callersAddress: freeAddress()}
	go fixture.serveEndpoint(endpoint)
	server := gateway.New(gateway.Options{
		Callers: fixture.callersAddress, Ready: netip.MustParseAddrPort("127.0.0.1:0"), Handler: newEntryProxy(endpoint.Addr().String()),
		IsReady: func() bool { return true }, Limits: func() *deployment.Limits { return nil }, Now: time.Now, Log: discardingLog(),
		ObserveConnection: func(string, int) {},
	})
	must(server.Start())
	b.Cleanup(func() {
		server.Close()
		_ = endpoint.Close()
		for _, conn := range fixture.openConns {
			_ = conn.Close()
		}
	})
	return fixture
}

// freeAddress returns a loopback address on which no listener is open.
func freeAddress() netip.AddrPort {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	must(listener.Close())
	return netip.MustParseAddrPort(listener.Addr().String())
}

func discardingLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// newEntryProxy returns a proxy with a safe, a streaming and a resumable streaming route, all to one endpoint.
func newEntryProxy(address string) *proxy.Service {
	route := func(name string, kind deployment.RouteKind, resumable bool) *deployment.Route {
		return &deployment.Route{
			Name: name, Host: callerHost, PathPrefix: "/" + name, Kind: kind, Resumable: resumable, MaxAttempts: 1, Timeout: time.Minute,
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
		Now: time.Now, Random: func() float64 { return 0 }, Log: discardingLog(), Observe: func(proxy.Observation) {},
		ShouldRefuse: func(deployment.RouteKind) bool { return false }, Leaving: func() bool { return false },
	}
	client := upstream.NewClient(upstream.Options{MaxIdle: time.Minute, DialTimeout: time.Second, Now: time.Now})
	return proxy.New(options, control, client, platform.Dialect())
}

// serveEndpoint reads the first bytes of one request on each connection. One goroutine and one buffer serve all connections, so that they
// add little to the measured memory.
func (f *gatewayFixture) serveEndpoint(listener net.Listener) {
	buffer := make([]byte, 4<<10)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := conn.Read(buffer); err != nil {
			continue
		}
		f.endpointConns <- conn
	}
}

// sendRequest sends the head and the body of a request on a new connection, which it returns.
func (f *gatewayFixture) sendRequest(path string, body []byte) net.Conn {
	conn, err := net.Dial("tcp4", f.callersAddress.String())
	must(err)
	f.openConns = append(f.openConns, conn)
	_, err = fmt.Fprintf(conn, "POST /%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", path, callerHost, len(body))
	must(err)
	_, err = conn.Write(body)
	must(err)
	return conn
}

// readAnswer reads the first bytes of the answer on a connection.
func readAnswer(conn net.Conn) {
	var buffer [64]byte
	_, err := conn.Read(buffer[:])
	must(err)
}

func (f *gatewayFixture) openIdleCallers(count int) any {
	for range count {
		readAnswer(f.sendRequest("no-such-route", nil))
	}
	return f
}

// openIdlePairs leaves count idle connections of callers and as many idle connections to the endpoint, because the endpoint answers the
// requests only after all of them have arrived.
func (f *gatewayFixture) openIdlePairs(count int) any {
	endpointConns := make([]net.Conn, 0, count)
	for range count {
		f.sendRequest("safe", nil)
		endpointConns = append(endpointConns, <-f.endpointConns)
	}
	for i, conn := range endpointConns {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok")
		must(err)
		readAnswer(f.openConns[i])
	}
	f.openConns = append(f.openConns, endpointConns...)
	return f
}

// openStreams leaves count streams in flight that have sent begin and then nothing more.
func (f *gatewayFixture) openStreams(path, begin string, count int) any {
	for range count {
		conn := f.sendRequest(path, nil)
		endpointConn := <-f.endpointConns
		_, err := io.WriteString(endpointConn, "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n"+begin)
		must(err)
		readAnswer(conn)
		f.openConns = append(f.openConns, endpointConn)
	}
	// The proxy's goroutines read within this time what the endpoint has written.
	time.Sleep(200 * time.Millisecond)
	return f
}

func (f *gatewayFixture) openBodies(count int) any {
	body := make([]byte, bufferedBodyBytes)
	for range count {
		f.sendRequest("safe", body)
		f.openConns = append(f.openConns, <-f.endpointConns)
	}
	return f
}
