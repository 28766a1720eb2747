// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package daemon_test

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/peerlink"
)

// pinnedMessage is a message in a golden file: its bytes, and its fields decoded without the program's types.
type pinnedMessage struct {
	Hex    string `json:"hex"`
	Fields any    `json:"fields"`
}

func newPinnedMessage(t *testing.T, data []byte) pinnedMessage {
	t.Helper()
	var fields any
	require.NoError(t, msgpack.Unmarshal(data, &fields))
	return pinnedMessage{Hex: hex.EncodeToString(data), Fields: normalizeDecoded(fields)}
}

// normalizeDecoded converts bytes to hex and times to UTC.
func normalizeDecoded(v any) any {
	switch x := v.(type) {
	case []byte:
		return "hex:" + hex.EncodeToString(x)
	case time.Time:
		return x.UTC().Format(time.RFC3339Nano)
	case []any:
		for i := range x {
			x[i] = normalizeDecoded(x[i])
		}
	case map[string]any:
		for key := range x {
			x[key] = normalizeDecoded(x[key])
		}
	}
	return v
}

// filledEnvelopes returns a filled envelope for each kind of message, by the kind's encoded name.
func filledEnvelopes() map[string]fleet.Envelope {
	out := make(map[string]fleet.Envelope)
	kind := reflect.TypeFor[fleet.Envelope]()
	for i := range kind.NumField() {
		if kind.Field(i).Type.Kind() != reflect.Pointer {
			continue
		}
		var e fleet.Envelope
		f := &filler{}
		v := reflect.ValueOf(&e).Elem()
		for j := range kind.NumField() {
			if tag := kind.Field(j).Tag.Get("msgpack"); tag != "-" && (j == i || kind.Field(j).Type.Kind() != reflect.Pointer) {
				f.fill(v.Field(j))
			}
		}
		name, _, _ := strings.Cut(kind.Field(i).Tag.Get("msgpack"), ",")
		out[name] = e
	}
	return out
}

const peerMessagesFile = "peer_messages.json"

// readPeerMessages returns the golden messages by name. With -update it rewrites them first.
func readPeerMessages(t *testing.T) map[string][]byte {
	t.Helper()
	if *update {
		golden := make(map[string]pinnedMessage)
		for name, e := range filledEnvelopes() {
			golden[name] = newPinnedMessage(t, encodeMsgpack(t, e))
		}
		var q peerlink.Question
		var a peerlink.Answer
		(&filler{}).fill(reflect.ValueOf(&q).Elem())
		(&filler{}).fill(reflect.ValueOf(&a).Elem())
		golden["question"], golden["answer"] = newPinnedMessage(t, encodeMsgpack(t, q)), newPinnedMessage(t, encodeMsgpack(t, a))
		checkGolden(t, peerMessagesFile, golden)
	}
	var golden map[string]pinnedMessage
	require.NoError(t, json.Unmarshal(readGolden(t, peerMessagesFile), &golden))
	out := make(map[string][]byte)
	for name, m := range golden {
		data, err := hex.DecodeString(m.Hex)
		require.NoError(t, err)
		out[name] = data
		golden[name] = newPinnedMessage(t, data)
	}
	checkGolden(t, peerMessagesFile, golden)
	return out
}

func encodeMsgpack(t *testing.T, v any) []byte {
	t.Helper()
	data, err := msgpack.Marshal(v)
	require.NoError(t, err)
	return data
}

func requireRoundTrip[T any](t *testing.T, name string, data []byte) T {
	t.Helper()
	var v T
	require.NoError(t, msgpack.Unmarshal(data, &v), name)
	require.Equal(t, hex.EncodeToString(data), hex.EncodeToString(encodeMsgpack(t, v)), "message %q: encoding differs from the golden file", name)
	return v
}

func TestMessagesBetweenInstances(t *testing.T) {
	golden := readPeerMessages(t)
	requireFilled(t, "question", "msgpack", reflect.ValueOf(requireRoundTrip[peerlink.Question](t, "question", golden["question"])))
	requireFilled(t, "answer", "msgpack", reflect.ValueOf(requireRoundTrip[peerlink.Answer](t, "answer", golden["answer"])))
	kinds := filledEnvelopes()
	require.Len(t, golden, len(kinds)+2, "the golden file and the program have different kinds of messages")
	for name := range kinds {
		require.Contains(t, golden, name)
		v := reflect.ValueOf(requireRoundTrip[fleet.Envelope](t, name, golden[name]))
		bodies := 0
		for i := range v.NumField() {
			if v.Field(i).Kind() == reflect.Pointer && !v.Field(i).IsNil() {
				bodies++
				requireFilled(t, name, "msgpack", v.Field(i))
			}
		}
		require.Equal(t, 1, bodies, name)
	}
}

// rawCodec is a gRPC codec that passes bytes on unchanged, so that a test sees the bytes on the wire.
type rawCodec struct{}

func (rawCodec) Marshal(v any) ([]byte, error) { return v.([]byte), nil }

func (rawCodec) Unmarshal(data []byte, v any) error {
	*v.(*[]byte) = append([]byte(nil), data...)
	return nil
}

func (rawCodec) Name() string { return "msgpack" }

// receivedMessage is a message as a peer receives it.
type receivedMessage struct {
	Method      string
	ContentType []string
	Data        []byte
}

// startRawPeer starts a peer that does not use the program's types and answers each question with the given bytes. It returns
// the peer's address and the received messages.
func startRawPeer(t *testing.T, answer []byte) (netip.AddrPort, <-chan receivedMessage) {
	l := listenLoopback(t)
	received := make(chan receivedMessage, 64)
	server := grpc.NewServer(grpc.ForceServerCodec(rawCodec{}), grpc.UnknownServiceHandler(func(_ any, stream grpc.ServerStream) error {
		method, _ := grpc.MethodFromServerStream(stream)
		header, _ := metadata.FromIncomingContext(stream.Context())
		for {
			var data []byte
			if err := stream.RecvMsg(&data); err != nil {
				if errors.Is(err, io.EOF) {
					return nil
				}
				return err
			}
			received <- receivedMessage{Method: method, ContentType: header.Get("content-type"), Data: data}
			if strings.HasSuffix(method, "/Ask") {
				return stream.SendMsg(answer)
			}
		}
	}))
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	return l.Addr().(*net.TCPAddr).AddrPort(), received
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

// waitTimeout limits each wait of a test. It only makes a hung test fail and affects no result.
const waitTimeout = 15 * time.Second

func receiveNext[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(waitTimeout):
		require.Fail(t, "nothing received within 15 s")
	}
	panic("unreachable")
}

func TestPeerLinksSendGoldenMessages(t *testing.T) {
	golden := readPeerMessages(t)
	to, received := startRawPeer(t, golden["answer"])
	links := peerlink.New(listenLoopback(t), peerlink.Options{})
	defer links.Close()
	for name := range filledEnvelopes() {
		e := requireRoundTrip[fleet.Envelope](t, name, golden[name])
		e.To = to
		links.Send(e)
		got := receiveNext(t, received)
		require.Equal(t, receivedMessage{Method: "/shelfledge.Peer/Push", ContentType: []string{"application/grpc+msgpack"}, Data: golden[name]}, got, name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	a, err := links.Ask(ctx, to, requireRoundTrip[peerlink.Question](t, "question", golden["question"]))
	require.NoError(t, err)
	require.Equal(t, golden["answer"], encodeMsgpack(t, a))
	require.Equal(t, receivedMessage{Method: "/shelfledge.Peer/Ask", ContentType: []string{"application/grpc+msgpack"}, Data: golden["question"]}, receiveNext(t, received))
}

func TestPeerLinksReceiveGoldenMessages(t *testing.T) {
	golden := readPeerMessages(t)
	pushed, asked := make(chan []byte, 64), make(chan []byte, 1)
	l := listenLoopback(t)
	links := peerlink.New(l, peerlink.Options{
		Receive: func(e fleet.Envelope) { pushed <- encodeMsgpack(t, e) },
		Answer: func(_ context.Context, q peerlink.Question) (peerlink.Answer, error) {
			asked <- encodeMsgpack(t, q)
			return requireRoundTrip[peerlink.Answer](t, "answer", golden["answer"]), nil
		},
	})
	defer links.Close()
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(rawCodec{})))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true}, "/shelfledge.Peer/Push")
	require.NoError(t, err)
	for name := range filledEnvelopes() {
		require.NoError(t, stream.SendMsg(golden[name]))
		require.Equal(t, golden[name], receiveNext(t, pushed), name)
	}
	var answer []byte
	require.NoError(t, conn.Invoke(ctx, "/shelfledge.Peer/Ask", golden["question"], &answer))
	require.Equal(t, golden["answer"], answer)
	require.Equal(t, golden["question"], receiveNext(t, asked))
}
