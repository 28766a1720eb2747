// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package datagram_test

import (
	"bytes"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/datagram"
)

// listen opens a socket on a port that the system picks.
func listen(t *testing.T) *datagram.Socket {
	t.Helper()
	socket, err := datagram.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

func TestDatagramArrivesWithItsSender(t *testing.T) {
	one, other := listen(t), listen(t)
	require.NoError(t, one.Send(other.Address(), []byte("hello")))
	payload, from, err := other.Receive(make([]byte, datagram.MaxBytes+1))
	require.NoError(t, err)
	assert.Equal(t, "hello", string(payload))
	assert.Equal(t, one.Address(), from)
}

func TestLargestDatagramArrivesAndLargerOnesAreRefused(t *testing.T) {
	one, other := listen(t), listen(t)
	largest := bytes.Repeat([]byte("x"), datagram.MaxBytes)
	require.NoError(t, one.Send(other.Address(), largest))
	payload, _, err := other.Receive(make([]byte, datagram.MaxBytes+1))
	require.NoError(t, err)
	assert.Equal(t, largest, payload)
	require.ErrorIs(t, one.Send(other.Address(), append(largest, 'x')), datagram.ErrTooLarge)
}

func TestReceiveTellsDatagramThatIsTooLarge(t *testing.T) {
	socket := listen(t)
	conn, err := net.Dial("udp", socket.Address().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(make([]byte, 2*datagram.MaxBytes))
	require.NoError(t, err)
	_, _, err = socket.Receive(make([]byte, datagram.MaxBytes+1))
	require.ErrorIs(t, err, datagram.ErrTooLarge)
}

func TestCloseEndsReceive(t *testing.T) {
	socket := listen(t)
	ended := make(chan error, 1)
	go func() {
		_, _, err := socket.Receive(make([]byte, datagram.MaxBytes+1))
		ended <- err
	}()
	require.NoError(t, socket.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
}

// TestSendToNobodyDoesNotEndReceive sends to a port that refuses datagrams, as an instance of a former version does.
func TestSendToNobodyDoesNotEndReceive(t *testing.T) {
	one, other, gone := listen(t), listen(t), listen(t)
	require.NoError(t, gone.Close())
	for range 3 {
		require.NoError(t, one.Send(gone.Address(), []byte("lost")))
	}
	require.NoError(t, other.Send(one.Address(), []byte("hello")))
	payload, _, err := one.Receive(make([]byte, datagram.MaxBytes+1))
	require.NoError(t, err)
	assert.Equal(t, "hello", string(payload))
}

func TestAddressInUseIsAnError(t *testing.T) {
	socket := listen(t)
	_, err := datagram.Listen(socket.Address())
	require.Error(t, err)
}
