// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerlink_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/peerlink"
)

const (
	// trickleBytes is how many bytes a trickling connection passes on at a time, with tricklePause after them.
	trickleBytes = 1
	tricklePause = 10 * time.Millisecond
	// maxSilence is how long a receiver waits for a whole message.
	maxSilence = 2 * time.Second
)

// tricklingConn passes its bytes on slowly once trickling is set.
type tricklingConn struct {
	net.Conn
	trickling *atomic.Bool
}

// Write implements net.Conn.
func (c tricklingConn) Write(content []byte) (int, error) {
	if !c.trickling.Load() {
		return c.Conn.Write(content)
	}
	for i := 0; i < len(content); i += trickleBytes {
		if n, err := c.Conn.Write(content[i:min(i+trickleBytes, len(content))]); err != nil {
			return i + n, err
		}
		time.Sleep(tricklePause)
	}
	return len(content), nil
}

// openPush opens a stream of messages over a trickling connection.
func openPush(t *testing.T, to netip.AddrPort, trickling *atomic.Bool) grpc.ClientStream {
	t.Helper()
	stream, err := dialTrickling(t, to, trickling).NewStream(t.Context(), &grpc.StreamDesc{ClientStreams: true}, "/shelfledge.Peer/Push")
	require.NoError(t, err)
	return stream
}

func dialTrickling(t *testing.T, to netip.AddrPort, trickling *atomic.Bool) *grpc.ClientConn {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+to.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDefaultCallOptions(grpc.CallContentSubtype("msgpack")),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			var dialer net.Dialer
			opened, err := dialer.DialContext(ctx, "tcp", address)
			return tricklingConn{Conn: opened, trickling: trickling}, err
		}))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestMessageThatTricklesIsGivenUp guards against a peer that keeps a stream and its memory for good by a message that does not end.
func TestMessageThatTricklesIsGivenUp(t *testing.T) {
	t.Parallel()
	to := startNode(t, loopbackAddress, peerlink.Options{MaxSilence: maxSilence})
	var trickling atomic.Bool
	stream := openPush(t, to.address, &trickling)
	whole := numberedEnvelope(to.address, 1)
	require.NoError(t, stream.SendMsg(&whole))
	require.Equal(t, "1", to.receive(t).Withdraw.RequestID)
	trickling.Store(true)
	ended := make(chan error, 1)
	go func() { ended <- stream.RecvMsg(&struct{}{}) }()
	go func() {
		_ = stream.SendMsg(&fleet.Envelope{From: "i1", Boot: 7, Records: &fleet.Records{Snapshot: make([]byte, 1<<20)}})
	}()
	select {
	case err := <-ended:
		require.ErrorContains(t, err, "no whole message")
	case <-time.After(testTimeout):
		require.Fail(t, "the stream goes on")
	}
	require.Empty(t, to.received)
}

// TestQuestionThatTricklesIsGivenUp guards against a peer that keeps a question and its memory for good by setting itself no deadline.
func TestQuestionThatTricklesIsGivenUp(t *testing.T) {
	t.Parallel()
	to := startNode(t, loopbackAddress, peerlink.Options{Answer: func(context.Context, peerlink.Question) (peerlink.Answer, error) {
		return peerlink.Answer{Rows: []byte("[]")}, nil
	}})
	var trickling atomic.Bool
	conn := dialTrickling(t, to.address, &trickling)
	ask := func(q peerlink.Question) error {
		var a peerlink.Answer
		return conn.Invoke(t.Context(), "/shelfledge.Peer/Ask", &q, &a)
	}
	require.NoError(t, ask(peerlink.Question{Table: "pools"}))
	trickling.Store(true)
	ended := make(chan error, 1)
	go func() { ended <- ask(peerlink.Question{Table: "pools", Key: string(make([]byte, 1<<20))}) }()
	select {
	case err := <-ended:
		require.ErrorContains(t, err, "took too long")
	case <-time.After(testTimeout):
		require.Fail(t, "the question goes on")
	}
}
