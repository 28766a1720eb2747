// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerlink_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/peerlink"
)

// maxConnectionsOfHost is how many connections one host may open.
const maxConnectionsOfHost = 256

// TestConnectionsOfPeerAreBounded guards against a peer that takes memory without end by opening connections.
func TestConnectionsOfPeerAreBounded(t *testing.T) {
	refused := make(chan netip.Addr, 1)
	to := startNode(t, loopbackAddress, peerlink.Options{Refused: func(from netip.Addr, _ int) { refused <- from }})
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", to.address.String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	var conns []net.Conn
	for range maxConnectionsOfHost + 1 {
		conns = append(conns, dial())
	}
	select {
	case host := <-refused:
		require.Equal(t, "127.0.0.1", host.String())
	case <-time.After(testTimeout):
		require.Fail(t, "no connection was refused")
	}
	require.NoError(t, conns[0].Close())
	from := startNode(t, loopbackAddress, peerlink.Options{})
	sendUntilReceived(t, from, to)
}

// blockingConn passes on a number of bytes and then none, as if the rest were delayed.
type blockingConn struct {
	net.Conn
	left  int
	ended chan struct{}
}

var errEnded = errors.New("the connection has ended")

// Write implements net.Conn.
func (c *blockingConn) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content[:min(c.left, len(content))])
	c.left -= n
	if err != nil || n == len(content) {
		return n, err
	}
	<-c.ended
	return n, errEnded
}

// Close implements net.Conn.
func (c *blockingConn) Close() error {
	select {
	case <-c.ended:
	default:
		close(c.ended)
	}
	return c.Conn.Close()
}

// TestMessagesUnderWayAreBounded guards against peers whose messages do not end and take 32 MiB each.
func TestMessagesUnderWayAreBounded(t *testing.T) {
	const (
		partBytes        = 20 << 20
		messageBytes     = 30 << 20
		peers            = 4
		maxBytesUnderWay = 64 << 20
	)
	ended := make(chan int64, peers)
	to := startNode(t, loopbackAddress, peerlink.Options{Ended: func(_ net.Addr, bytes int64) { ended <- bytes }})
	for range peers {
		conn, err := grpc.NewClient("passthrough:///"+to.address.String(),
			grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDefaultCallOptions(grpc.CallContentSubtype("msgpack")),
			grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
				var dialer net.Dialer
				opened, err := dialer.DialContext(ctx, "tcp", address)
				return &blockingConn{Conn: opened, left: partBytes, ended: make(chan struct{})}, err
			}))
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		stream, err := conn.NewStream(t.Context(), &grpc.StreamDesc{ClientStreams: true}, "/shelfledge.Peer/Push")
		require.NoError(t, err)
		go func() {
			_ = stream.SendMsg(&fleet.Envelope{From: "i1", Boot: 7, Records: &fleet.Records{Snapshot: make([]byte, messageBytes)}})
		}()
	}
	select {
	case bytes := <-ended:
		require.GreaterOrEqual(t, bytes, int64(maxBytesUnderWay/peers), "the connection that has most")
	case <-time.After(testTimeout):
		require.Fail(t, "no connection was closed")
	}
	from := startNode(t, loopbackAddress, peerlink.Options{})
	sendUntilReceived(t, from, to)
	require.Empty(t, ended, "no more than is needed")
}

// TestWholeMessagesAreNotUnderWay guards against a bound that adds up messages that were received.
func TestWholeMessagesAreNotUnderWay(t *testing.T) {
	const (
		messages     = 40
		messageBytes = 2 << 20
	)
	to := startNode(t, loopbackAddress, peerlink.Options{Ended: func(net.Addr, int64) { t.Error("a connection was closed") }})
	from := startNode(t, loopbackAddress, peerlink.Options{})
	for range messages {
		from.Send(fleet.Envelope{From: "i1", Boot: 7, To: to.address, Records: &fleet.Records{Snapshot: make([]byte, messageBytes)}})
		require.Len(t, to.receive(t).Records.Snapshot, messageBytes)
	}
	require.Zero(t, from.Dropped())
}
