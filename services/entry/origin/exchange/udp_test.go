// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/origin"
	"github.com/shelfledge/shelfledge/services/entry/origin/exchange"
)

// freeAddresses returns addresses of several hosts of the loopback network whose UDP ports were free a moment ago.
func freeAddresses(t *testing.T, count int) []origin.Instance {
	t.Helper()
	var instances []origin.Instance
	for i := range count {
		conn, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.%d:0", i+1))
		require.NoError(t, err)
		address := netip.MustParseAddrPort(conn.LocalAddr().String())
		require.NoError(t, conn.Close())
		instances = append(instances, origin.Instance{Hall: fmt.Sprintf("hall-%d", i%2), Address: address})
	}
	return instances
}

// TestInstancesExchangeOriginsOverUDP starts some instances of a list over real sockets. The last one of the list is of a former version.
func TestInstancesExchangeOriginsOverUDP(t *testing.T) {
	instances := freeAddresses(t, 5)
	log := logrus.New()
	log.SetOutput(io.Discard)
	var services []*exchange.Service
	for _, instance := range instances[:4] {
		service := exchange.New(exchange.Options{Hall: instance.Hall, Address: instance.Address, Now: time.Now, Log: logrus.NewEntry(log)})
		require.NoError(t, service.Start())
		defer service.Close()
		service.SetInstances(instances)
		service.ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
		services = append(services, service)
	}
	const streams = 100
	for key := range origin.Key(streams) {
		begin(services[0], key, two)
	}
	told := func() bool {
		counters := services[0].Counters()
		return counters.ToldRecords+counters.SendErrors >= 2*streams
	}
	require.Eventually(t, told, 10*time.Second, time.Millisecond)
	for key := range origin.Key(streams) {
		assertEventuallyFound(t, known(two), services[1+key%3], key)
	}
	assertEventuallyFound(t, unknown, services[1], 1000)
}

// assertEventuallyFound checks what an instance finds out, where datagrams may still be under way.
func assertEventuallyFound(t *testing.T, expected origin.Result, service *exchange.Service, key origin.Key) {
	t.Helper()
	assert.Eventually(t, func() bool {
		return service.Find(t.Context(), time.Now(), key, []string{"chat"}, window) == expected
	}, 10*time.Second, time.Millisecond)
}
