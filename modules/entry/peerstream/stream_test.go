// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerstream_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
	"github.com/shelfledge/shelfledge/modules/messagepack"
)

type testMessage struct {
	Text   string
	Number int
}

func connPair(t *testing.T) (net.Conn, net.Conn) {
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
	left, right := connPair(t)
	sender, receiver := peerstream.New[testMessage](left), peerstream.New[testMessage](right)
	defer sender.Close()
	defer receiver.Close()
	for i := range 20 {
		require.NoError(t, sender.Send(testMessage{Text: "hello", Number: i}))
	}
	for i := range 20 {
		got, err := receiver.Receive(time.Second, time.Now)
		require.NoError(t, err)
		assert.Equal(t, testMessage{Text: "hello", Number: i}, got)
	}
}

// TestFinishSendsQueuedMessages: closing a stream at once would lose its last message, the one that states why it ends.
func TestFinishSendsQueuedMessages(t *testing.T) {
	const messages = 50
	left, right := connPair(t)
	sender, receiver := peerstream.New[testMessage](left), peerstream.New[testMessage](right)
	defer receiver.Close()
	for i := range messages {
		require.NoError(t, sender.Send(testMessage{Number: i}))
	}
	sender.Finish()
	sender.Finish()
	require.ErrorIs(t, sender.Send(testMessage{}), peerstream.ErrClosed)
	for i := range messages {
		got, err := receiver.Receive(time.Second, time.Now)
		require.NoError(t, err)
		assert.Equal(t, i, got.Number)
	}
	_, err := receiver.Receive(time.Second, time.Now)
	assert.ErrorIs(t, err, io.EOF)
}

func TestReceiveTimesOutOnSilence(t *testing.T) {
	left, _ := connPair(t)
	stream := peerstream.New[testMessage](left)
	defer stream.Close()
	_, err := stream.Receive(20*time.Millisecond, time.Now)
	assert.Error(t, err)
}

func TestSendNeverBlocks(t *testing.T) {
	left, _ := connPair(t)
	stream := peerstream.New[testMessage](left)
	defer stream.Close()
	text := string(make([]byte, 1<<20))
	var err error
	for range 200 {
		if err = stream.Send(testMessage{Text: text}); err != nil {
			break
		}
	}
	assert.ErrorIs(t, err, peerstream.ErrCongested)
}

func TestTooLargeMessageIsRejectedByItsLength(t *testing.T) {
	left, right := connPair(t)
	stream := peerstream.New[testMessage](right)
	defer stream.Close()
	length := binary.BigEndian.AppendUint32(nil, 1<<31)
	_, err := left.Write(length)
	require.NoError(t, err)
	_, err = stream.Receive(time.Second, time.Now)
	assert.ErrorIs(t, err, peerstream.ErrTooLarge)
}

// TestLargeMessagesShareRoom guards against many peers whose large messages do not end.
func TestLargeMessagesShareRoom(t *testing.T) {
	const largeBytes, roomBytes = 1 << 20, 3 << 19
	room := peerstream.NewRoom(roomBytes)
	begin := func(bytes uint32) chan error {
		left, right := connPair(t)
		stream := peerstream.NewWithin[testMessage](right, room)
		t.Cleanup(stream.Close)
		_, err := left.Write(binary.BigEndian.AppendUint32(nil, bytes))
		require.NoError(t, err)
		ended := make(chan error, 1)
		go func() {
			_, err := stream.Receive(time.Second, time.Now)
			ended <- err
		}()
		return ended
	}
	results := []chan error{begin(largeBytes), begin(largeBytes)}
	var refused int
	for _, result := range results {
		if err := <-result; errors.Is(err, peerstream.ErrNoRoom) {
			refused++
		}
	}
	assert.Equal(t, 1, refused)
	assert.NotErrorIs(t, <-begin(largeBytes), peerstream.ErrNoRoom, "the place of a message that was given up")
	assert.NotErrorIs(t, <-begin(1<<10), peerstream.ErrNoRoom)
}

// TestMessageNestedWithoutEndEndsOnlyItsStream guards against a message that ends the process that receives it.
func TestMessageNestedWithoutEndEndsOnlyItsStream(t *testing.T) {
	const nested = 8<<20 - 10
	left, right := connPair(t)
	stream := peerstream.New[testMessage](right)
	defer stream.Close()
	message := append([]byte("\x81\xa5Other"), bytes.Repeat([]byte{0x91}, nested)...)
	go func() {
		_, _ = left.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(message))), message...))
	}()
	_, err := stream.Receive(5*time.Second, time.Now)
	assert.ErrorIs(t, err, messagepack.ErrTooDeep)
}

// TestQueueIsBoundedInBytes queues few but large messages, so that the limit of messages does not apply.
func TestQueueIsBoundedInBytes(t *testing.T) {
	left, _ := net.Pipe()
	stream := peerstream.New[testMessage](left)
	defer stream.Close()
	text := string(make([]byte, 600<<10))
	for i := range 3 {
		require.NoError(t, stream.Send(testMessage{Text: text, Number: i}))
	}
	queued := stream.QueuedBytes()
	assert.Greater(t, queued, int64(3*600<<10))
	require.ErrorIs(t, stream.Send(testMessage{Text: text}), peerstream.ErrCongested)
	assert.ErrorIs(t, stream.Send(testMessage{Text: "after the end"}), peerstream.ErrClosed)
}

func TestMessageAboveQueueLimitIsSentWhenQueueIsEmpty(t *testing.T) {
	left, right := connPair(t)
	sender, receiver := peerstream.New[testMessage](left), peerstream.New[testMessage](right)
	defer sender.Close()
	defer receiver.Close()
	text := string(make([]byte, 3<<20))
	require.NoError(t, sender.Send(testMessage{Text: text}))
	got, err := receiver.Receive(5*time.Second, time.Now)
	require.NoError(t, err)
	assert.Len(t, got.Text, 3<<20)
	assert.Eventually(t, func() bool { return sender.QueuedBytes() == 0 }, time.Second, time.Millisecond)
}

func TestCloseDiscardsQueuedMessages(t *testing.T) {
	left, _ := net.Pipe()
	stream := peerstream.New[testMessage](left)
	for i := range 20 {
		require.NoError(t, stream.Send(testMessage{Text: "hello", Number: i}))
	}
	assert.Positive(t, stream.QueuedBytes())
	stream.Close()
	assert.Eventually(t, func() bool { return stream.QueuedBytes() == 0 }, time.Second, time.Millisecond)
}
