// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin_test

import (
	"fmt"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
)

// TestFreePortsStayFree guards against a port that something else takes between its choice and its use ("address already in use").
func TestFreePortsStayFree(t *testing.T) {
	const sites, others = 40, 2000
	ips := []string{"127.0.0.11", "127.0.0.12", "127.0.0.13"}
	found := make(chan platformstandin.Ports, sites)
	var group sync.WaitGroup
	for range sites {
		group.Go(func() {
			ports, err := platformstandin.FreePorts(ips)
			assert.NoError(t, err)
			found <- ports
		})
	}
	group.Wait()
	close(found)
	for range others {
		listener, err := net.Listen("tcp4", ips[0]+":0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
	}
	for ports := range found {
		for _, port := range []uint16{ports.Callers, ports.Ready, ports.Peers, ports.Peers + 1, ports.Metrics} {
			for _, ip := range ips {
				listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
				require.NoError(t, err)
				t.Cleanup(func() { _ = listener.Close() })
			}
		}
	}
}

// TestFreeAddressStaysFreeWhileNobodyListens guards against a worker that cannot start again, since a connection of the host has its port.
func TestFreeAddressStaysFreeWhileNobodyListens(t *testing.T) {
	const others = 2000
	address, err := platformstandin.FreeAddress()
	require.NoError(t, err)
	for range 2 {
		listener, err := net.Listen("tcp4", address.String())
		require.NoError(t, err)
		require.NoError(t, listener.Close())
		for range others {
			other, err := net.Listen("tcp4", address.Addr().String()+":0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = other.Close() })
		}
	}
	assert.Less(t, address.Port(), uint16(32768), "the system gives no port of this range to connections")
}
