// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/lease"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

const (
	operatorsPrefix  = "operators/"
	configurationKey = operatorsPrefix + "configuration"
	// versionPrefix begins the keys that name versions: an adapter's name follows, the value is the version.
	versionPrefix  = operatorsPrefix + "version/"
	endpointPrefix = "endpoints/"
	recordKey      = "shelfledge/planner"
	heartbeatKey   = "shelfledge/planner-alive"
	service        = "chat"
	selfName       = "self"
	// versionLimit leaves former versions time beside the age that a name may count as, up to a short watch.
	versionLimit = 3 * time.Second
)

var (
	selfAddress = netip.MustParseAddrPort("127.0.0.1:1001")
	peerAddress = netip.MustParseAddrPort("127.0.0.1:1002")
	route       = &deployment.Route{Name: "chat", Kind: deployment.Streaming, TargetLatency: 800 * time.Millisecond, TargetPause: 250 * time.Millisecond}
)

func adapter(name string) deployment.Adapter {
	return deployment.Adapter{Model: "base", Name: name}
}

// engines takes orders like endpoints do: loads are done at once.
type engines struct {
	mutex    sync.Mutex
	sequence int64
	adapters map[deployment.Adapter]int64
	loads    int
	silent   bool
	// endless keeps loads under way for good.
	endless bool
	// held, if not nil, keeps loads under way until it is closed.
	held chan struct{}
}

func (e *engines) send(_ context.Context, order loading.Order, _ string, _ int64) loading.Result {
	e.mutex.Lock()
	under := e.held
	e.mutex.Unlock()
	if under != nil && order.Kind == loading.Load {
		<-under
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	result := loading.Result{Order: order, Reply: loading.Inspected}
	_, held := e.adapters[order.Adapter]
	switch {
	case e.silent:
		result.Reply = loading.Unanswered
	case order.Kind == loading.Inspect:
		report := &loading.Report{Sequence: e.sequence, Models: []string{"base"}, Adapters: make(map[deployment.Adapter]int64)}
		for name, version := range e.adapters {
			report.Adapters[name] = version
		}
		result.Report = report
	case order.Kind == loading.Load && held && e.endless:
		result.Reply = loading.Accepted
	case order.Kind == loading.Load && held:
		result.Reply = loading.Holds
	case order.Kind == loading.Load:
		e.loads++
		e.sequence++
		e.adapters[order.Adapter] = 1
		result.Reply = loading.Accepted
	default:
		e.sequence++
		delete(e.adapters, order.Adapter)
		result.Reply = loading.Accepted
	}
	return result
}

func (e *engines) loadForever() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.endless = true
}

func (e *engines) hold() (release func()) {
	held := make(chan struct{})
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.held = held
	return sync.OnceFunc(func() { close(held) })
}

func (e *engines) loadCount() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.loads
}

// pipes connects one instance to peers that the test plays.
type pipes struct {
	// dialed are the far ends of the connections that the instance dials.
	dialed   chan net.Conn
	incoming chan net.Conn
	refuse   bool
	closed   chan struct{}
	once     sync.Once
	// last is the address that was dialed last.
	last atomic.Pointer[netip.AddrPort]
}

// lastDialed gives the address that the instance dialed last.
func (p *pipes) lastDialed() netip.AddrPort {
	if last := p.last.Load(); last != nil {
		return *last
	}
	return netip.AddrPort{}
}

func (p *pipes) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	p.last.Store(&address)
	if p.refuse {
		return nil, errDown
	}
	near, far := net.Pipe()
	select {
	case p.dialed <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-p.incoming:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipes) Addr() net.Addr { return net.TCPAddrFromAddrPort(selfAddress) }

// site is one instance with a store, one endpoint and peers that the test plays.
type site struct {
	store   *memoryStore
	engines *engines
	pipes   *pipes
	control *coordinator.Coordinator
	// log has the lines of the instance's log.
	log *logtest.Hook
	// formerAges are what was observed of requests that began on former versions.
	formerAges chan formerAge
	// now is the instance's clock.
	now func() time.Time
	// loadWindow is the span in which loads from the weight store are counted.
	loadWindow time.Duration
	// reluctance is how much longer than others the instance leaves the record to them.
	reluctance time.Duration
	// linkRate is how many bytes a second the instance's link carries; 0 if it is not known.
	linkRate int
	// aroundCommit wraps the store's writes, as the instance makes them.
	aroundCommit func(commit commitFunc) commitFunc
	// takenBack counts requests that were taken back.
	takenBack atomic.Int64
}

// formerAge is how long a newer version had been known when a request began on a former one.
type formerAge struct {
	age     time.Duration
	overdue bool
}

// commitFunc is a call that writes to the store.
type commitFunc = func(ctx context.Context, transaction store.Transaction) (int64, error)

// emptyEndpoint is the value of the key of an endpoint that has never held the base model.
const emptyEndpoint = "empty"

func parseEndpoint(item store.Item) (deployment.Endpoint, error) {
	if string(item.Value) == foreignEntry {
		return deployment.Endpoint{}, errForeignEntry
	}
	endpoint := deployment.Endpoint{
		ID: deployment.EndpointID(strings.TrimPrefix(item.Key, endpointPrefix)), Service: service, Hall: "hall",
		Address: netip.MustParseAddrPort("127.0.0.1:2001"), Slots: 16, Adapters: make(map[deployment.Adapter]int64),
	}
	if string(item.Value) != emptyEndpoint {
		endpoint.Models, endpoint.CachedModels = []string{"base"}, []string{"base"}
	}
	return endpoint, nil
}

// foreignEntry is an entry that no endpoint wrote.
const foreignEntry = "foreign"

var errForeignEntry = errors.New("no endpoint's entry")

// parseVersion reads the key of a named version.
func parseVersion(item store.Item) (deployment.Adapter, int64, bool) {
	name, ok := strings.CutPrefix(item.Key, versionPrefix)
	version, err := strconv.ParseInt(string(item.Value), 10, 64)
	return adapter(name), version, ok && err == nil
}

func configuration() *deployment.Configuration {
	engine := &deployment.Engine{
		Slots: 16, AdapterCapacity: 8, LoadsPerSecond: 50, Models: []deployment.Model{{Name: "base"}},
	}
	services := map[string]*deployment.Service{service: {Name: service, MaxConnections: 80, Engine: engine}}
	return deployment.NewConfiguration(3, []*deployment.Route{route}, services, deployment.Limits{})
}

// newSite makes an instance whose store holds a configuration and an endpoint; start begins its work.
func newSite() *site {
	s := &site{
		store: newMemoryStore(), engines: &engines{adapters: make(map[deployment.Adapter]int64)},
		pipes:      &pipes{dialed: make(chan net.Conn), incoming: make(chan net.Conn), closed: make(chan struct{})},
		formerAges: make(chan formerAge, 10), now: time.Now, loadWindow: time.Second, aroundCommit: func(commit commitFunc) commitFunc { return commit },
	}
	s.store.put(configurationKey, "3")
	s.store.put(endpointPrefix+"e1", "")
	return s
}

func (s *site) start(t testing.TB, seeds ...netip.AddrPort) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s.log = logtest.NewLocal(log)
	options := coordinator.Options{
		Instance: selfName, Hall: "hall", PeerAddress: selfAddress, Seeds: seeds,
		Lease:      lease.Options{Window: 1300 * time.Millisecond, OrderTimeout: 200 * time.Millisecond, Turn: 300 * time.Millisecond},
		LoadWindow: s.loadWindow, LoadTolerance: 1, LoadSlack: 10, VersionLimit: versionLimit, StoreTimeout: 300 * time.Millisecond,
		Now: s.now, Random: func() float64 { return 0.5 }, Log: logrus.NewEntry(log), LinkRate: s.linkRate, Reluctance: s.reluctance,
		ObserveFormerVersion: func(age time.Duration, overdue bool) { s.formerAges <- formerAge{age, overdue} },
		ObserveTakenBack:     func() { s.takenBack.Add(1) },
	}
	client := s.store.client()
	client.Commit = s.aroundCommit(client.Commit)
	environment := coordinator.Environment{
		Store: client, ConfigurationPrefix: operatorsPrefix, EndpointPrefix: endpointPrefix, ConfigurationKey: configurationKey,
		ParseConfiguration: func([]byte) (*deployment.Configuration, error) { return configuration(), nil },
		ParseVersion:       parseVersion,
		ParseEndpoint:      parseEndpoint,
		EndpointOf: func(key string) deployment.EndpointID {
			return deployment.EndpointID(strings.TrimPrefix(key, endpointPrefix))
		},
		SendOrder: s.engines.send, Dial: s.pipes.dial,
		Listen: func(netip.AddrPort) (net.Listener, error) { return s.pipes, nil },
		Retire: func(deployment.EndpointID) {},
	}
	s.control = coordinator.New(options, environment)
	require.NoError(t, s.control.Start())
	t.Cleanup(s.control.Stop)
}

// planElsewhere puts a record into the store by which another instance plans in term 4.
func (s *site) planElsewhere(t *testing.T) {
	t.Helper()
	value, err := lease.Record{Holder: "peer", Address: peerAddress, Term: 4, Ordering: true}.Encode()
	require.NoError(t, err)
	s.store.put(recordKey, string(value))
	s.store.put(heartbeatKey, "peer")
}

func (s *site) acquire(name string, patience time.Duration) (coordinator.Assignment, *deployment.Request, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	now := time.Now()
	request := &deployment.Request{Route: route, Service: service, Adapter: adapter(name), Arrived: now, Deadline: now.Add(10 * time.Second)}
	assignment, err := s.control.Acquire(ctx, request, nil)
	return assignment, request, err
}

const (
	waitLimit = 5 * time.Second
	lookPace  = 5 * time.Millisecond
)
