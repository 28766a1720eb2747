// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerstream

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/shelfledge/shelfledge/modules/messagepack"
)

const (
	// maxMessageBytes bounds the memory that a peer can make this process allocate for a message, in bytes. A higher value allows views of
	// larger fleets, a lower one takes less memory.
	maxMessageBytes = 8 << 20
	// maxQueuedMessages is how many messages may be queued for a slow peer. A higher value tolerates a longer pause of the peer, a lower
	// one takes less memory and detects the pause sooner.
	maxQueuedMessages = 64
	// maxQueuedBytes is how many bytes may be queued for a slow peer, 2 MiB: a complete view of 600 endpoints and a configuration of 1 MB,
	// the most that the platform's store holds in one value. A single larger message is still sent if the queue is empty. A higher value
	// tolerates a slower link, a lower one takes less memory.
	maxQueuedBytes = 2 << 20
	// writeTimeout is how long the writing of one message may take, in addition to its transfer time on a slow link. A higher value
	// tolerates a slow link, a lower one detects a broken link sooner.
	writeTimeout = 2 * time.Second
	// minBytesPerSecond is the assumed minimum throughput of a link, so that a large message gets more time than a small one: three
	// quarters of the users' slowest links of 10 Mbit/s.
	minBytesPerSecond = 900_000
	// freeMessageBytes is up to how many bytes a message needs no place in a Room. A higher value lets more messages pass while a Room is full, a
	// lower one bounds what they take together.
	freeMessageBytes = 64 << 10
	// lengthBytes is the size of the length prefix of each message; part of the wire format.
	lengthBytes = 4
)

// ErrCongested is returned when a peer does not read fast enough and too many messages or bytes are queued for it.
var ErrCongested = errors.New("peerstream: send queue is full")

// ErrClosed is returned for a message to a closed or finished stream.
var ErrClosed = errors.New("peerstream: stream is closed")

// ErrTooLarge is returned for a received message of more than maxMessageBytes.
var ErrTooLarge = errors.New("peerstream: message too large")

// ErrNoRoom is returned for a received message that finds no place in the Room.
var ErrNoRoom = errors.New("peerstream: too many bytes are being received")

// Stream sends and receives messages of one type.
type Stream[M any] struct {
	conn     net.Conn
	room     *Room
	reader   *bufio.Reader
	outgoing chan Frame
	// queued counts the bytes of the frames that are queued or being written.
	queued    atomic.Int64
	closed    chan struct{}
	closeOnce sync.Once
	// finishing is closed by Finish.
	finishing  chan struct{}
	finishOnce sync.Once
}

// New returns a stream over a connection and starts its writer; Close ends it. What other streams receive does not bound what it receives.
func New[M any](conn net.Conn) *Stream[M] {
	return NewWithin[M](conn, nil)
}

// NewWithin returns a stream like New, whose large messages take their place in a Room while they are received.
func NewWithin[M any](conn net.Conn, room *Room) *Stream[M] {
	s := &Stream[M]{
		conn:     conn,
		room:     room,
		reader:   bufio.NewReader(conn),
		outgoing: make(chan Frame, maxQueuedMessages),
		closed:   make(chan struct{}),

		finishing: make(chan struct{}),
	}
	go s.writeLoop()
	return s
}

// Frame is an encoded message, which may be sent to several peers.
type Frame []byte

// Encode returns the frame of a message.
func Encode[M any](message M) (Frame, error) {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("peerstream: encode: %w", err)
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	return append(frame, body...), nil
}

// Send queues a message. It closes the stream and returns ErrCongested if too many messages or bytes are queued, and returns ErrClosed if
// the stream was closed before.
func (s *Stream[M]) Send(message M) error {
	frame, err := Encode(message)
	if err != nil {
		return err
	}
	return s.SendFrame(frame)
}

// SendFrame queues an encoded message like Send.
func (s *Stream[M]) SendFrame(frame Frame) error {
	select {
	case <-s.closed:
		return ErrClosed
	case <-s.finishing:
		return ErrClosed
	default:
	}
	size := int64(len(frame))
	if total := s.queued.Add(size); total > maxQueuedBytes && total > size {
		return s.closeCongested(size)
	}
	select {
	case s.outgoing <- frame:
		return nil
	default:
		return s.closeCongested(size)
	}
}

// closeCongested closes a stream whose peer does not read, and so drops its queue.
func (s *Stream[M]) closeCongested(size int64) error {
	s.queued.Add(-size)
	s.Close()
	return ErrCongested
}

// QueuedBytes returns the number of bytes that are queued for the peer, including the frame being written. A frame that is queued on several
// streams counts on each of them.
func (s *Stream[M]) QueuedBytes() int64 {
	return s.queued.Load()
}

// Receive returns the next message. It waits for the start of a message for at most the given silence; a message that has begun gets its
// transfer time on a slow link in addition. Receive returns ErrTooLarge, ErrNoRoom, or an error of the connection or of decoding. The stream cannot be
// used after any of them.
func (s *Stream[M]) Receive(silence time.Duration, now func() time.Time) (M, error) {
	var message M
	if err := s.setReadDeadline(now().Add(silence)); err != nil {
		return message, err
	}
	var length [lengthBytes]byte
	if _, err := io.ReadFull(s.reader, length[:]); err != nil {
		return message, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxMessageBytes {
		return message, ErrTooLarge
	}
	if !s.room.take(int(size)) {
		return message, ErrNoRoom
	}
	defer s.room.release(int(size))
	if err := s.setReadDeadline(now().Add(silence + transferTime(int(size)))); err != nil {
		return message, err
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(s.reader, body); err != nil {
		return message, err
	}
	err := messagepack.Unmarshal(body, &message)
	return message, err
}

// setReadDeadline sets the deadline for data that has not arrived yet. A closed connection may reject a deadline, but data received before
// its end can still be read.
func (s *Stream[M]) setReadDeadline(until time.Time) error {
	if err := s.conn.SetReadDeadline(until); err != nil && s.reader.Buffered() == 0 {
		return err
	}
	return nil
}

// Close closes the stream and drops queued messages.
func (s *Stream[M]) Close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		// The connection is not used again, so that an error has no consequence.
		_ = s.conn.Close()
	})
}

// Finish accepts no more messages and closes the stream once the queued ones are sent, each within its time. Closing at once would lose the
// last message.
func (s *Stream[M]) Finish() {
	s.finishOnce.Do(func() { close(s.finishing) })
}

// writeLoop sends queued messages until the stream is closed or a message cannot be sent in time, which closes the stream. Receive then
// returns the error.
func (s *Stream[M]) writeLoop() {
	defer s.discardQueued()
	defer s.Close()
	for {
		frame, ok := s.nextFrame()
		if !ok || s.writeFrame(frame) != nil {
			return
		}
	}
}

// nextFrame waits for the next frame to send. It returns false once the stream is closed, or is finished and its queue empty.
func (s *Stream[M]) nextFrame() (Frame, bool) {
	select {
	case <-s.closed:
		return nil, false
	case frame := <-s.outgoing:
		return frame, true
	case <-s.finishing:
	}
	select {
	case frame := <-s.outgoing:
		return frame, true
	default:
		return nil, false
	}
}

// writeFrame sends one frame within its time limit and then no longer counts it as queued.
func (s *Stream[M]) writeFrame(frame Frame) error {
	defer s.queued.Add(-int64(len(frame)))
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout + transferTime(len(frame)))); err != nil {
		return err
	}
	_, err := s.conn.Write(frame)
	return err
}

// transferTime returns how long a number of bytes takes on a slow link.
func transferTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / minBytesPerSecond
}

// discardQueued empties the queue of a closed stream, which its users may reference for longer.
func (s *Stream[M]) discardQueued() {
	for {
		select {
		case frame := <-s.outgoing:
			s.queued.Add(-int64(len(frame)))
		default:
			return
		}
	}
}
