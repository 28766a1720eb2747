// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/origin"
	"github.com/shelfledge/shelfledge/services/entry/origin/archive"
	"github.com/shelfledge/shelfledge/services/entry/origin/exchange"
)

// pausable lets an instance stand still: its clock shows no progress, and datagrams wait until it reads them again.
type pausable struct {
	mutex   sync.Mutex
	stoodAt time.Time
	read    chan struct{}
}

// now is the clock of the instance.
func (p *pausable) now() time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.stoodAt.IsZero() {
		return p.stoodAt
	}
	return time.Now()
}

// pause lets the instance stand still.
func (p *pausable) pause() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stoodAt, p.read = time.Now(), make(chan struct{})
}

// goOn lets the instance go on, and read what has arrived a moment later.
func (p *pausable) goOn() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stoodAt = time.Time{}
	read := p.read
	time.AfterFunc(latency, func() { close(read) })
}

// awaitRead waits until the instance reads datagrams.
func (p *pausable) awaitRead() {
	p.mutex.Lock()
	read := p.read
	p.mutex.Unlock()
	if read != nil {
		<-read
	}
}

// start starts an instance that can stand still.
func (p *pausable) start(t *testing.T, n *network, self origin.Instance, instances []origin.Instance) *exchange.Service {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	service := exchange.New(exchange.Options{
		Hall: self.Hall, Address: self.Address, Now: p.now, Log: logrus.NewEntry(log),
		Archive: &archive.Archive{Store: n.client(self.Address), Writer: rand.Uint64()},
		Listen: func(address netip.AddrPort) (exchange.Transport, error) {
			transport, err := n.listen(address)
			receive := transport.Receive
			transport.Receive = func(buffer []byte) ([]byte, netip.AddrPort, error) {
				payload, from, err := receive(buffer)
				p.awaitRead()
				return payload, from, err
			}
			return transport, err
		},
	})
	require.NoError(t, service.Start())
	service.SetInstances(instances)
	return service
}

// TestStreamIsNotJoinedByInstanceThatStoodStill guards against a stream that goes on at the only software that an instance knew before it stood still.
func TestStreamIsNotJoinedByInstanceThatStoodStill(t *testing.T) {
	const paused = 5
	for _, span := range []time.Duration{2 * time.Second, 5 * time.Second, window} {
		t.Run(span.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 6, 3, "1.0")
				defer func() { f.close() }()
				f.services[paused].Close()
				p := &pausable{}
				f.services[paused] = p.start(t, f.network, f.instances[paused], f.instances)
				f.services[paused].ObserveEndpoints(time.Now(), chat("1.0"))
				time.Sleep(2 * window)
				p.pause()
				for _, service := range f.services[:paused] {
					service.ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
				}
				prepareAndBegin(t, f.services[3], lateKey, two)
				time.Sleep(span)
				p.goOn()
				began := time.Now()
				assertNotJoined(t, two, f.services[paused], lateKey)
				assert.LessOrEqual(t, time.Since(began), time.Second)
			})
		})
	}
}
