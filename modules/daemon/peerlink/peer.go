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

// queuedEnvelope is an envelope in the queue for a peer.
type queuedEnvelope struct {
	envelope fleet.Envelope
	size     int
	queuedAt time.Time
}

// peer sends envelopes to one instance.
type peer struct {
	links   *Links
	address netip.AddrPort
	queue   chan queuedEnvelope
	// queuedBytes is the size in bytes of the envelopes that are queued or being sent.
	queuedBytes atomic.Int64
	cancel      context.CancelFunc
	mutex       sync.Mutex
	conn        *grpc.ClientConn
}

// pushStream is an open stream to a peer; only the sending goroutine uses it.
type pushStream struct {
	grpc.ClientStream
	cancel context.CancelFunc
	// previousSize is the size in bytes of the previous envelope, whose transmission may not be complete.
	previousSize int
}

// enqueue adds an envelope to the queue. It returns false if the queue has reached its limit in number or bytes.
func (p *peer) enqueue(e fleet.Envelope, now time.Time) bool {
	size := e.Size()
	if before := p.queuedBytes.Add(int64(size)) - int64(size); before >= maxQueuedBytes {
		p.queuedBytes.Add(-int64(size))
		return false
	}
	select {
	case p.queue <- queuedEnvelope{envelope: e, size: size, queuedAt: now}:
		return true
	default:
		p.queuedBytes.Add(-int64(size))
		return false
	}
}

// connection returns the connection to the peer and creates it on first use.
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

// run sends the queued envelopes over a stream, which is reopened after each failure, until ctx ends or the peer is removed as idle.
func (p *peer) run(ctx context.Context) {
	defer p.close()
	var stream *pushStream
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(peerIdleTimeout):
			p.links.removePeer(p)
			if ctx.Err() != nil {
				return
			}
		case q := <-p.queue:
			stream = p.push(ctx, stream, q)
			p.queuedBytes.Add(-int64(q.size))
		}
	}
}

// push sends an envelope, or drops it if it is older than maxQueueAge. It returns the stream for the next envelope, or nil if there is none.
func (p *peer) push(ctx context.Context, stream *pushStream, q queuedEnvelope) *pushStream {
	if p.links.options.Now().Sub(q.queuedAt) > maxQueueAge {
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

// send sends an envelope over the stream. It closes the connection if that takes longer than sendTimeout.
func (p *peer) send(stream *pushStream, q queuedEnvelope) error {
	timer := time.AfterFunc(sendTimeout(stream.previousSize+q.size), func() {
		stream.cancel()
		p.close()
	})
	defer timer.Stop()
	stream.previousSize = q.size
	return stream.SendMsg(&q.envelope)
}

// sendTimeout returns the timeout of a send that waits for the transmission of the given number of bytes.
func sendTimeout(bytes int) time.Duration {
	return sendTimeoutBase + time.Duration(bytes)*time.Second/minSendRate
}

// open opens a stream to the peer, or returns nil if that fails.
func (p *peer) open(ctx context.Context) *pushStream {
	conn, err := p.connection()
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := conn.NewStream(ctx, &serviceDescription.Streams[0], pushMethod)
	if err != nil {
		cancel()
		return nil
	}
	go func() {
		defer cancel()
		// The server sends no messages, so that RecvMsg returns when the stream has ended, and cancel then frees its resources. The next send
		// fails with the reason.
		_ = stream.RecvMsg(&pushResponse{})
	}()
	return &pushStream{ClientStream: stream, cancel: cancel}
}

func (p *peer) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.conn != nil {
		// Close fails only if the connection is already closed.
		_ = p.conn.Close()
		p.conn = nil
	}
}
