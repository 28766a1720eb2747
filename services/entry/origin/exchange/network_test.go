// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/origin"
	"github.com/shelfledge/shelfledge/services/entry/origin/archive"
	"github.com/shelfledge/shelfledge/services/entry/origin/exchange"
	"github.com/shelfledge/shelfledge/tests/memorystore"
)

// latency is the time that a datagram takes in a network of a test.
const latency = time.Millisecond

// queueLength is the number of datagrams that wait at an address at most.
const queueLength = 4096

// datagram is one that is under way.
type datagram struct {
	from, to netip.AddrPort
	payload  []byte
}

// network carries datagrams in memory. It loses those to addresses where nobody listens.
type network struct {
	mutex sync.Mutex
	nodes map[netip.AddrPort]*node
	// loses reports whether a datagram is lost; none is if it is nil.
	loses func(sent datagram) bool
	sent  []datagram
	// store is where the instances archive, away has the errors of the commits of those that it turns away, cut has those that get no answers
	// from it at all, delays how long the commits of others take, and held for how long some stand still when they renew a lease.
	store  *memorystore.Store
	away   map[netip.AddrPort]error
	cut    map[netip.AddrPort]bool
	delays map[netip.AddrPort]time.Duration
	held   map[netip.AddrPort]time.Duration
}

// delay lets the store take a time for each write of an instance.
func (n *network) delay(address netip.AddrPort, delay time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.delays[address] = delay
}

// turnAway lets the store refuse what an instance writes, or accept it again if the error is nil.
func (n *network) turnAway(address netip.AddrPort, err error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.away[address] = err
}

// cutFromStore lets an instance get no answers from the store.
func (n *network) cutFromStore(address netip.AddrPort) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut[address] = true
}

// awaitAnswer waits until the store could answer an instance. It returns the error of the call that was cut off.
func (n *network) awaitAnswer(ctx context.Context, address netip.AddrPort) error {
	n.mutex.Lock()
	cut := n.cut[address]
	n.mutex.Unlock()
	if !cut {
		return nil
	}
	<-ctx.Done()
	return &store.UnknownError{Cause: ctx.Err()}
}

// client returns the client of the store for an instance.
func (n *network) client(address netip.AddrPort) store.Client {
	client := n.store.Client()
	pages := client.Range
	client.Range = func(ctx context.Context, prefix, after string) (store.Page, error) {
		if err := n.awaitAnswer(ctx, address); err != nil {
			return store.Page{}, err
		}
		return pages(ctx, prefix, after)
	}
	commit := client.Commit
	client.Commit = func(ctx context.Context, transaction store.Transaction) (int64, error) {
		if err := n.awaitAnswer(ctx, address); err != nil {
			return 0, err
		}
		n.mutex.Lock()
		err, delay := n.away[address], n.delays[address]
		n.mutex.Unlock()
		if delay > 0 {
			select {
			case <-time.After(delay):
			case <-ctx.Done():
				return 0, ctx.Err()
			}
		}
		if err != nil {
			return 0, err
		}
		return commit(ctx, transaction)
	}
	renew := client.RenewLease
	client.RenewLease = func(ctx context.Context, lease int64) error {
		n.mutex.Lock()
		held := n.held[address]
		n.mutex.Unlock()
		time.Sleep(held)
		return renew(ctx, lease)
	}
	return client
}

// holdRenewals lets an instance stand still for a time when it renews a lease.
func (n *network) holdRenewals(address netip.AddrPort, held time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.held[address] = held
}

// node is an address where datagrams arrive.
type node struct {
	arrived chan datagram
	closed  chan struct{}
}

func newNetwork() *network {
	return &network{
		nodes: make(map[netip.AddrPort]*node), store: memorystore.New(time.Now),
		away: make(map[netip.AddrPort]error), delays: make(map[netip.AddrPort]time.Duration),
		held: make(map[netip.AddrPort]time.Duration), cut: make(map[netip.AddrPort]bool),
	}
}

// listen opens the transport of an address.
func (n *network) listen(address netip.AddrPort) (exchange.Transport, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	here := &node{arrived: make(chan datagram, queueLength), closed: make(chan struct{})}
	n.nodes[address] = here
	return exchange.Transport{
		Send: func(to netip.AddrPort, payload []byte) error {
			n.send(datagram{from: address, to: to, payload: slices.Clone(payload)})
			return nil
		},
		Receive: here.receive,
		Close: func() error {
			close(here.closed)
			n.mutex.Lock()
			defer n.mutex.Unlock()
			delete(n.nodes, address)
			return nil
		},
	}, nil
}

// receive waits for a datagram.
func (n *node) receive(buffer []byte) ([]byte, netip.AddrPort, error) {
	select {
	case received := <-n.arrived:
		return buffer[:copy(buffer, received.payload)], received.from, nil
	case <-n.closed:
		return nil, netip.AddrPort{}, fmt.Errorf("network: %w", net.ErrClosed)
	}
}

// send carries a datagram unless it is lost.
func (n *network) send(sent datagram) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.sent = append(n.sent, sent)
	if n.loses != nil && n.loses(sent) {
		return
	}
	time.AfterFunc(latency, func() { n.arrive(sent) })
}

// arrive lets a datagram arrive.
func (n *network) arrive(sent datagram) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if target, exists := n.nodes[sent.to]; exists {
		target.arrived <- sent
	}
}

// lose sets which datagrams are lost.
func (n *network) lose(loses func(sent datagram) bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.loses = loses
}

// takeSent returns the datagrams that were sent since the last call.
func (n *network) takeSent() []datagram {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	sent := n.sent
	n.sent = nil
	return sent
}

// withoutChecks returns datagrams but for those by which instances find out who is of a former build: questions without services, and their answers.
func withoutChecks(t *testing.T, sent []datagram) []datagram {
	t.Helper()
	checks := make(map[any]bool)
	return slices.DeleteFunc(sent, func(each datagram) bool {
		decoded := decode(t, each.payload)
		if answered, isAnswer := decoded["a"].(fields); isAnswer {
			return checks[answered["i"]]
		}
		asked, isQuestion := decoded["q"].(fields)
		if !isQuestion || asked["s"] != nil {
			return false
		}
		checks[asked["i"]] = true
		return true
	})
}

// list returns instances in halls, in turn.
func list(count, halls int) []origin.Instance {
	var instances []origin.Instance
	for i := range count {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7100)
		instances = append(instances, origin.Instance{Hall: fmt.Sprintf("hall-%d", i%halls), Address: address})
	}
	return instances
}

// startInstance starts an instance that knows a list of instances.
func startInstance(t testing.TB, n *network, self origin.Instance, instances []origin.Instance) *exchange.Service {
	t.Helper()
	return startWith(t, n, self, instances, &archive.Archive{Store: n.client(self.Address), Writer: rand.Uint64()})
}

// startWithoutArchive starts an instance that archives nothing, like one of a former build.
func startWithoutArchive(t testing.TB, n *network, self origin.Instance, instances []origin.Instance) *exchange.Service {
	t.Helper()
	return startWith(t, n, self, instances, nil)
}

func startWith(t testing.TB, n *network, self origin.Instance, instances []origin.Instance, kept *archive.Archive) *exchange.Service {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	service := exchange.New(exchange.Options{
		Hall: self.Hall, Address: self.Address, Now: time.Now, Log: logrus.NewEntry(log), Listen: n.listen, Archive: kept,
	})
	require.NoError(t, service.Start())
	service.SetInstances(instances)
	return service
}

// fleet is a number of instances in a network.
type fleet struct {
	network   *network
	instances []origin.Instance
	services  []*exchange.Service
}

// startFleet starts a fleet whose instances all know the same softwares.
func startFleet(t testing.TB, count, halls int, softwares ...string) *fleet {
	t.Helper()
	f := &fleet{network: newNetwork(), instances: list(count, halls)}
	for _, instance := range f.instances {
		f.services = append(f.services, startInstance(t, f.network, instance, f.instances))
	}
	f.observe(softwares...)
	return f
}

// observe lets all instances see which softwares serve.
func (f *fleet) observe(softwares ...string) {
	for _, service := range f.services {
		service.ObserveEndpoints(time.Now(), chat(softwares...))
	}
}

// close ends all instances.
func (f *fleet) close() {
	for _, service := range f.services {
		service.Close()
	}
}

// knows reports whether an instance knows a stream that another one, or itself, began.
func (f *fleet) knows(i, began int, key origin.Key) bool {
	return i == began || slices.Contains(f.told(began, key), f.instances[i].Address)
}

// told returns the instances that one tells about a stream: its holders, and the one that writes into the archive.
func (f *fleet) told(began int, key origin.Key) []netip.AddrPort {
	holders := origin.NewHolders(f.instances[began], f.instances)
	told := holders.Told(key)
	if archiver, exists := holders.Archiver(key); exists && archiver != f.instances[began].Address && !slices.Contains(told, archiver) {
		told = append(told, archiver)
	}
	return told
}

// restart replaces an instance by one that knows nothing but the softwares that serve.
func (f *fleet) restart(t *testing.T, i int, softwares ...string) {
	t.Helper()
	f.services[i].Close()
	f.services[i] = startInstance(t, f.network, f.instances[i], f.instances)
	f.services[i].ObserveEndpoints(time.Now(), chat(softwares...))
}

// chat returns the softwares that serve one service.
func chat(softwares ...string) map[string][]string {
	return map[string][]string{"chat": softwares}
}
