// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerlink_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"github.com/shelfledge/shelfledge/modules/daemon/peerlink"
)

// TestStreamsOfPeerAreBounded guards against a peer that takes memory without end by opening streams. An envelope on each shows that it is open.
func TestStreamsOfPeerAreBounded(t *testing.T) {
	t.Parallel()
	const (
		maxStreams = 64
		refusedIn  = 500 * time.Millisecond
	)
	to := startNode(t, loopbackAddress, peerlink.Options{})
	conn, err := grpc.NewClient("passthrough:///"+to.address.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDefaultCallOptions(grpc.CallContentSubtype("msgpack")))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	push := func(ctx context.Context) (grpc.ClientStream, error) {
		return conn.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true}, "/shelfledge.Peer/Push")
	}
	var streams []grpc.ClientStream
	for range maxStreams {
		stream, err := push(t.Context())
		require.NoError(t, err)
		envelope := numberedEnvelope(to.address, len(streams))
		require.NoError(t, stream.SendMsg(&envelope))
		to.receive(t)
		streams = append(streams, stream)
	}
	ctx, cancel := context.WithTimeout(t.Context(), refusedIn)
	defer cancel()
	_, err = push(ctx)
	require.Error(t, err, "a stream beyond the limit")
	require.NoError(t, streams[0].CloseSend())
	require.Error(t, streams[0].RecvMsg(&struct{}{}), "the end of the stream")
	_, err = push(t.Context())
	require.NoError(t, err, "a stream in the place of one that ended")
}

// TestLongMetadataOfPeerIsRefused guards against a peer whose streams hold long metadata for as long as they are open.
func TestLongMetadataOfPeerIsRefused(t *testing.T) {
	t.Parallel()
	const metadataBytes = 1 << 20
	to := startNode(t, loopbackAddress, peerlink.Options{Answer: func(context.Context, peerlink.Question) (peerlink.Answer, error) {
		return peerlink.Answer{}, nil
	}})
	conn, err := grpc.NewClient("passthrough:///"+to.address.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDefaultCallOptions(grpc.CallContentSubtype("msgpack")))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	ask := func(ctx context.Context) error {
		return conn.Invoke(ctx, "/shelfledge.Peer/Ask", &peerlink.Question{}, &peerlink.Answer{})
	}
	require.NoError(t, ask(t.Context()))
	require.Error(t, ask(metadata.AppendToOutgoingContext(t.Context(), "x", strings.Repeat("a", metadataBytes))))
}
