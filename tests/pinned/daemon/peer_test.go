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

// message is a pinned message: its bytes, and the same read without any type of the program.
type message struct {
	Hex    string `json:"hex"`
	Fields any    `json:"fields"`
}

func messageOf(t *testing.T, data []byte) message {
	t.Helper()
	var fields any
	require.NoError(t, msgpack.Unmarshal(data, &fields))
	return message{Hex: hex.EncodeToString(data), Fields: readable(fields)}
}

// readable gives bytes as hex and times in UTC.
func readable(v any) any {
	switch x := v.(type) {
	case []byte:
		return "hex:" + hex.EncodeToString(x)
	case time.Time:
		return x.UTC().Format(time.RFC3339Nano)
	case []any:
		for i := range x {
			x[i] = readable(x[i])
		}
	case map[string]any:
		for key := range x {
			x[key] = readable(x[key])
		}
	}
	return v
}

// envelopes gives a filled envelope for each kind of message, by the kind's encoded name.
func envelopes() map[string]fleet.Envelope {
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

const messagesFile = "peer_messages.json"

// messages reads the pinned messages, after writing them where that is asked for.
func messages(t *testing.T) map[string][]byte {
	t.Helper()
	if *update {
		all := make(map[string]message)
		for name, e := range envelopes() {
			all[name] = messageOf(t, encoded(t, e))
		}
		var q peerlink.Question
		var a peerlink.Answer
		(&filler{}).fill(reflect.ValueOf(&q).Elem())
		(&filler{}).fill(reflect.ValueOf(&a).Elem())
		all["question"], all["answer"] = messageOf(t, encoded(t, q)), messageOf(t, encoded(t, a))
		pin(t, messagesFile, all)
	}
	var all map[string]message
	require.NoError(t, json.Unmarshal(pinned(t, messagesFile), &all))
	out := make(map[string][]byte)
	for name, m := range all {
		data, err := hex.DecodeString(m.Hex)
		require.NoError(t, err)
		out[name] = data
		all[name] = messageOf(t, data)
	}
	pin(t, messagesFile, all)
	return out
}

func encoded(t *testing.T, v any) []byte {
	t.Helper()
	data, err := msgpack.Marshal(v)
	require.NoError(t, err)
	return data
}

func requireSame[T any](t *testing.T, name string, data []byte) T {
	t.Helper()
	var v T
	require.NoError(t, msgpack.Unmarshal(data, &v), name)
	require.Equal(t, hex.EncodeToString(data), hex.EncodeToString(encoded(t, v)), "message %q is encoded otherwise", name)
	return v
}

func TestMessagesBetweenInstances(t *testing.T) {
	all := messages(t)
	requireFilled(t, "question", "msgpack", reflect.ValueOf(requireSame[peerlink.Question](t, "question", all["question"])))
	requireFilled(t, "answer", "msgpack", reflect.ValueOf(requireSame[peerlink.Answer](t, "answer", all["answer"])))
	kinds := envelopes()
	require.Len(t, all, len(kinds)+2, "a kind of message has no pinned example, or the reverse")
	for name := range kinds {
		require.Contains(t, all, name)
		v := reflect.ValueOf(requireSame[fleet.Envelope](t, name, all[name]))
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

// rawCodec passes bytes on, so that a test sees what is on the wire.
type rawCodec struct{}

func (rawCodec) Marshal(v any) ([]byte, error) { return v.([]byte), nil }

func (rawCodec) Unmarshal(data []byte, v any) error {
	*v.(*[]byte) = append([]byte(nil), data...)
	return nil
}

func (rawCodec) Name() string { return "msgpack" }

// sent is one message as a peer receives it.
type sent struct {
	Method      string
	ContentType []string
	Data        []byte
}

// rawPeer is a peer that knows nothing of the program's types and answers questions with fixed bytes.
func rawPeer(t *testing.T, answer []byte) (netip.AddrPort, <-chan sent) {
	l := listen(t)
	received := make(chan sent, 64)
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
			received <- sent{Method: method, ContentType: header.Get("content-type"), Data: data}
			if strings.HasSuffix(method, "/Ask") {
				return stream.SendMsg(answer)
			}
		}
	}))
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	return l.Addr().(*net.TCPAddr).AddrPort(), received
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

// patience bounds each wait; it decides nothing, save that a hung test fails.
const patience = 15 * time.Second

func next[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(patience):
		require.Fail(t, "nothing arrives")
	}
	panic("unreachable")
}

func TestWhatLinksSend(t *testing.T) {
	all := messages(t)
	to, received := rawPeer(t, all["answer"])
	links := peerlink.New(listen(t), peerlink.Options{})
	defer links.Close()
	for name := range envelopes() {
		e := requireSame[fleet.Envelope](t, name, all[name])
		e.To = to
		links.Send(e)
		got := next(t, received)
		require.Equal(t, sent{Method: "/shelfledge.Peer/Push", ContentType: []string{"application/grpc+msgpack"}, Data: all[name]}, got, name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	a, err := links.Ask(ctx, to, requireSame[peerlink.Question](t, "question", all["question"]))
	require.NoError(t, err)
	require.Equal(t, all["answer"], encoded(t, a))
	require.Equal(t, sent{Method: "/shelfledge.Peer/Ask", ContentType: []string{"application/grpc+msgpack"}, Data: all["question"]}, next(t, received))
}

func TestWhatLinksReceive(t *testing.T) {
	all := messages(t)
	pushed, asked := make(chan []byte, 64), make(chan []byte, 1)
	l := listen(t)
	links := peerlink.New(l, peerlink.Options{
		Receive: func(e fleet.Envelope) { pushed <- encoded(t, e) },
		Answer: func(_ context.Context, q peerlink.Question) (peerlink.Answer, error) {
			asked <- encoded(t, q)
			return requireSame[peerlink.Answer](t, "answer", all["answer"]), nil
		},
	})
	defer links.Close()
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(rawCodec{})))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true}, "/shelfledge.Peer/Push")
	require.NoError(t, err)
	for name := range envelopes() {
		require.NoError(t, stream.SendMsg(all[name]))
		require.Equal(t, all[name], next(t, pushed), name)
	}
	var answer []byte
	require.NoError(t, conn.Invoke(ctx, "/shelfledge.Peer/Ask", all["question"], &answer))
	require.Equal(t, all["answer"], answer)
	require.Equal(t, all["question"], next(t, asked))
}
