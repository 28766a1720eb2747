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
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// maxMessageBytes bounds what a peer can make this process allocate.
	maxMessageBytes = 8 << 20
	// outgoingMessages is how many messages may wait for a slow peer.
	outgoingMessages = 64
	writeTimeout     = 2 * time.Second
	lengthBytes      = 4
)

// ErrCongested reports a peer that does not read fast enough.
var ErrCongested = errors.New("peerstream: too many messages wait")

// ErrTooLarge reports a message over the bound.
var ErrTooLarge = errors.New("peerstream: message too large")

// Stream sends and receives messages of one type.
type Stream[M any] struct {
	conn     net.Conn
	reader   *bufio.Reader
	outgoing chan Frame
	closed   chan struct{}
	once     sync.Once
}

// New starts the sender of a stream; Close ends it.
func New[M any](conn net.Conn) *Stream[M] {
	s := &Stream[M]{
		conn:     conn,
		reader:   bufio.NewReader(conn),
		outgoing: make(chan Frame, outgoingMessages),
		closed:   make(chan struct{}),
	}
	go s.write()
	return s
}

// Frame is an encoded message, which may be sent to several peers.
type Frame []byte

// Encode gives a message's frame.
func Encode[M any](message M) (Frame, error) {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("peerstream: encode: %w", err)
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	return append(frame, body...), nil
}

// Send queues a message. It returns ErrCongested, after closing the stream, if too many wait.
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
	case s.outgoing <- frame:
		return nil
	default:
		s.Close()
		return ErrCongested
	}
}

// Receive waits for the next message, at most for the silence that is allowed.
func (s *Stream[M]) Receive(silence time.Duration, now func() time.Time) (M, error) {
	var message M
	_ = s.conn.SetReadDeadline(now().Add(silence))
	var length [lengthBytes]byte
	if _, err := io.ReadFull(s.reader, length[:]); err != nil {
		return message, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxMessageBytes {
		return message, ErrTooLarge
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(s.reader, body); err != nil {
		return message, err
	}
	err := msgpack.Unmarshal(body, &message)
	return message, err
}

// Close ends the stream; messages that wait are dropped.
func (s *Stream[M]) Close() {
	s.once.Do(func() {
		close(s.closed)
		_ = s.conn.Close()
	})
}

func (s *Stream[M]) write() {
	defer s.Close()
	for {
		select {
		case <-s.closed:
			return
		case frame := <-s.outgoing:
			_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := s.conn.Write(frame); err != nil {
				return
			}
		}
	}
}
