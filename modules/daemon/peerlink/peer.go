// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerlink

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// peer is the sending side to one instance.
type peer struct {
	links   *Links
	address netip.AddrPort
	queue   chan fleet.Envelope
	cancel  context.CancelFunc
	mutex   sync.Mutex
	conn    *grpc.ClientConn
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
	var stream grpc.ClientStream
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(idleLife):
			p.links.forget(p)
			if ctx.Err() != nil {
				return
			}
		case e := <-p.queue:
			stream = p.push(ctx, stream, e)
		}
	}
}

// push sends one envelope and gives the stream to go on with, or nil.
func (p *peer) push(ctx context.Context, stream grpc.ClientStream, e fleet.Envelope) grpc.ClientStream {
	if stream == nil {
		stream = p.open(ctx)
	}
	if stream == nil {
		p.links.dropped.Add(1)
		return nil
	}
	if err := stream.SendMsg(&e); err != nil {
		p.links.dropped.Add(1)
		return nil
	}
	return stream
}

func (p *peer) open(ctx context.Context) grpc.ClientStream {
	conn, err := p.connection()
	if err != nil {
		return nil
	}
	stream, err := conn.NewStream(ctx, &description.Streams[0], pushMethod)
	if err != nil {
		return nil
	}
	go func() {
		// The server answers only by ending the stream; this frees what the stream holds. Why it ended is seen by the next send.
		_ = stream.RecvMsg(&pushed{})
	}()
	return stream
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
