// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerstream_test

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
)

type letter struct {
	Text   string
	Number int
}

func pair(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = dialed.Close(); _ = accepted.Close() })
	return dialed, accepted
}

func TestMessagesArriveInOrder(t *testing.T) {
	left, right := pair(t)
	sender, receiver := peerstream.New[letter](left), peerstream.New[letter](right)
	defer sender.Close()
	defer receiver.Close()
	for i := range 20 {
		require.NoError(t, sender.Send(letter{Text: "hello", Number: i}))
	}
	for i := range 20 {
		got, err := receiver.Receive(time.Second, time.Now)
		require.NoError(t, err)
		assert.Equal(t, letter{Text: "hello", Number: i}, got)
	}
}

// TestAFinishedStreamSendsWhatWaits: a stream that was closed at once lost its last message, the one for which it ended.
func TestAFinishedStreamSendsWhatWaits(t *testing.T) {
	const letters = 50
	left, right := pair(t)
	sender, receiver := peerstream.New[letter](left), peerstream.New[letter](right)
	defer receiver.Close()
	for i := range letters {
		require.NoError(t, sender.Send(letter{Number: i}))
	}
	sender.Finish()
	sender.Finish()
	require.ErrorIs(t, sender.Send(letter{}), peerstream.ErrClosed)
	for i := range letters {
		got, err := receiver.Receive(time.Second, time.Now)
		require.NoError(t, err)
		assert.Equal(t, i, got.Number)
	}
	_, err := receiver.Receive(time.Second, time.Now)
	assert.ErrorIs(t, err, io.EOF)
}

func TestSilenceIsAnError(t *testing.T) {
	left, _ := pair(t)
	stream := peerstream.New[letter](left)
	defer stream.Close()
	_, err := stream.Receive(20*time.Millisecond, time.Now)
	assert.Error(t, err)
}

func TestAPeerThatDoesNotReadNeverBlocksTheSender(t *testing.T) {
	left, _ := pair(t)
	stream := peerstream.New[letter](left)
	defer stream.Close()
	text := string(make([]byte, 1<<20))
	var err error
	for range 200 {
		if err = stream.Send(letter{Text: text}); err != nil {
			break
		}
	}
	assert.ErrorIs(t, err, peerstream.ErrCongested)
}

func TestATooLargeMessageIsRefusedBeforeItIsRead(t *testing.T) {
	left, right := pair(t)
	stream := peerstream.New[letter](right)
	defer stream.Close()
	length := binary.BigEndian.AppendUint32(nil, 1<<31)
	_, err := left.Write(length)
	require.NoError(t, err)
	_, err = stream.Receive(time.Second, time.Now)
	assert.ErrorIs(t, err, peerstream.ErrTooLarge)
}

// TestWhatWaitsForAPeerIsBoundInBytes sends as few messages as may wait by their number, but large ones.
func TestWhatWaitsForAPeerIsBoundInBytes(t *testing.T) {
	left, _ := net.Pipe()
	stream := peerstream.New[letter](left)
	defer stream.Close()
	text := string(make([]byte, 600<<10))
	for i := range 3 {
		require.NoError(t, stream.Send(letter{Text: text, Number: i}))
	}
	waiting := stream.Queued()
	assert.Greater(t, waiting, int64(3*600<<10))
	require.ErrorIs(t, stream.Send(letter{Text: text}), peerstream.ErrCongested)
	assert.ErrorIs(t, stream.Send(letter{Text: "after the end"}), peerstream.ErrClosed)
}

func TestOneMessageOverTheBoundIsSentAlone(t *testing.T) {
	left, right := pair(t)
	sender, receiver := peerstream.New[letter](left), peerstream.New[letter](right)
	defer sender.Close()
	defer receiver.Close()
	text := string(make([]byte, 3<<20))
	require.NoError(t, sender.Send(letter{Text: text}))
	got, err := receiver.Receive(5*time.Second, time.Now)
	require.NoError(t, err)
	assert.Len(t, got.Text, 3<<20)
	assert.Eventually(t, func() bool { return sender.Queued() == 0 }, time.Second, time.Millisecond)
}

func TestAClosedStreamKeepsNothing(t *testing.T) {
	left, _ := net.Pipe()
	stream := peerstream.New[letter](left)
	for i := range 20 {
		require.NoError(t, stream.Send(letter{Text: "hello", Number: i}))
	}
	assert.Positive(t, stream.Queued())
	stream.Close()
	assert.Eventually(t, func() bool { return stream.Queued() == 0 }, time.Second, time.Millisecond)
}
