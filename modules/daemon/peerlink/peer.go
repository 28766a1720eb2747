// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerlink

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// queued is an envelope that waits to be sent.
type queued struct {
	envelope fleet.Envelope
	size     int
	since    time.Time
}

// peer is the sending side to one instance.
type peer struct {
	links   *Links
	address netip.AddrPort
	queue   chan queued
	// waiting is the size of what is queued or being sent, in bytes.
	waiting atomic.Int64
	cancel  context.CancelFunc
	mutex   sync.Mutex
	conn    *grpc.ClientConn
}

// pushStream is an open stream to a peer; only the goroutine that sends uses it.
type pushStream struct {
	grpc.ClientStream
	cancel context.CancelFunc
	// before is the size of the envelope sent last, in bytes, which may still be leaving.
	before int
}

// enqueue takes an envelope to be sent, unless too much waits already.
func (p *peer) enqueue(e fleet.Envelope, now time.Time) bool {
	size := e.Size()
	if before := p.waiting.Add(int64(size)) - int64(size); before >= queueBytes {
		p.waiting.Add(-int64(size))
		return false
	}
	select {
	case p.queue <- queued{envelope: e, size: size, since: now}:
		return true
	default:
		p.waiting.Add(-int64(size))
		return false
	}
}

func (p *peer) connection() (*grpc.ClientConn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.conn != nil {
		return p.conn, nil
	}
	conn, err := p.links.dial(p.address)
	if err != nil {
		return nil, err
	}
	p.conn = conn
	return conn, nil
}

// run sends what is queued, over a stream that is made anew whenever it breaks.
func (p *peer) run(ctx context.Context) {
	defer p.close()
	var stream *pushStream
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(idleLife):
			p.links.forget(p)
			if ctx.Err() != nil {
				return
			}
		case q := <-p.queue:
			stream = p.push(ctx, stream, q)
			p.waiting.Add(-int64(q.size))
		}
	}
}

// push sends one envelope, unless it has grown old, and gives the stream to go on with, or nil.
func (p *peer) push(ctx context.Context, stream *pushStream, q queued) *pushStream {
	if p.links.options.Now().Sub(q.since) > oldest {
		p.links.dropped.Add(1)
		return stream
	}
	if stream == nil {
		stream = p.open(ctx)
	}
	if stream == nil {
		p.links.dropped.Add(1)
		return nil
	}
	if err := p.send(stream, q); err != nil {
		stream.cancel()
		p.links.dropped.Add(1)
		return nil
	}
	return stream
}

// send passes one envelope to the stream, and ends the connection where that takes too long.
func (p *peer) send(stream *pushStream, q queued) error {
	giveUp := time.AfterFunc(sendLimit(stream.before+q.size), func() {
		stream.cancel()
		p.close()
	})
	defer giveUp.Stop()
	stream.before = q.size
	return stream.SendMsg(&q.envelope)
}

// sendLimit gives how long a send may take that waits for so many bytes to leave.
func sendLimit(bytes int) time.Duration {
	return sendBase + time.Duration(bytes)*time.Second/slowestLink
}

func (p *peer) open(ctx context.Context) *pushStream {
	conn, err := p.connection()
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := conn.NewStream(ctx, &description.Streams[0], pushMethod)
	if err != nil {
		cancel()
		return nil
	}
	go func() {
		defer cancel()
		// The server answers only by ending the stream; this frees what the stream holds. Why it ended is seen by the next send.
		_ = stream.RecvMsg(&pushed{})
	}()
	return &pushStream{ClientStream: stream, cancel: cancel}
}

func (p *peer) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.conn != nil {
		// Its one error says that it was closed before.
		_ = p.conn.Close()
		p.conn = nil
	}
}
