// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerlink

import (
	"context"
	"net"
	"sync"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/stats"
)

// meter counts the bytes of messages that have arrived over all connections of a server and are not decoded yet. Where they are too many, it closes
// the connection that has most of them: a message whose end does not come takes its place for as long as its connection lasts. gRPC itself
// bounds a message and the streams of a connection only.
type meter struct {
	// onEnd is called after a connection was closed, with the bytes that it had under way.
	onEnd func(from net.Addr, bytes int64)

	mutex    sync.Mutex
	underWay int64
	// conns are the open connections by the address of their peer.
	conns map[string]*meteredConn
}

func newMeter(onEnd func(from net.Addr, bytes int64)) *meter {
	return &meter{onEnd: onEnd, conns: make(map[string]*meteredConn)}
}

// meteredConn is a connection whose messages a meter counts.
type meteredConn struct {
	net.Conn
	meter  *meter
	frames frameCounter
	// underWay is guarded by the mutex of the meter, as is ended: the connection counts no longer.
	underWay int64
	ended    bool
}

// add returns a connection that is counted until it is closed.
func (m *meter) add(conn net.Conn) *meteredConn {
	c := &meteredConn{Conn: conn, meter: m, frames: newFrameCounter()}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.conns[conn.RemoteAddr().String()] = c
	return c
}

// Read implements net.Conn.
func (c *meteredConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if data := c.frames.count(buffer[:n]); data > 0 {
		c.meter.recordReceived(c, int64(data))
	}
	return n, err
}

// Close implements net.Conn.
func (c *meteredConn) Close() error {
	c.meter.mutex.Lock()
	c.meter.remove(c)
	c.meter.mutex.Unlock()
	return c.Conn.Close()
}

// remove stops counting a connection; the caller holds the mutex.
func (m *meter) remove(c *meteredConn) {
	if c.ended {
		return
	}
	c.ended = true
	m.underWay -= c.underWay
	if address := c.RemoteAddr().String(); m.conns[address] == c {
		delete(m.conns, address)
	}
}

// recordReceived counts bytes that arrived, and closes the connection that has most under way if there are too many.
func (m *meter) recordReceived(c *meteredConn, bytes int64) {
	largest := m.addReceived(c, bytes)
	if largest == nil {
		return
	}
	// The error means that the connection has ended already.
	_ = largest.Conn.Close()
	m.onEnd(largest.RemoteAddr(), largest.underWay)
}

// addReceived counts bytes, and returns the connection to be closed, which counts no longer; nil if none is.
func (m *meter) addReceived(c *meteredConn, bytes int64) *meteredConn {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if c.ended {
		return nil
	}
	c.underWay += bytes
	m.underWay += bytes
	if m.underWay <= maxBytesUnderWay {
		return nil
	}
	largest := c
	for _, other := range m.conns {
		if other.underWay > largest.underWay {
			largest = other
		}
	}
	m.remove(largest)
	return largest
}

// recordDecoded counts a message that is no longer under way.
func (m *meter) recordDecoded(c *meteredConn, bytes int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if c.ended {
		return
	}
	c.underWay -= bytes
	m.underWay -= bytes
}

// meteredCredentials adds the connections of a server to a meter once they are set up, so that it counts what is sent in the clear.
type meteredCredentials struct {
	credentials.TransportCredentials
	meter *meter
}

// ServerHandshake implements credentials.TransportCredentials.
func (c meteredCredentials) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conn, info, err := c.TransportCredentials.ServerHandshake(raw)
	if err != nil {
		return nil, nil, err
	}
	return c.meter.add(conn), info, nil
}

// Clone implements credentials.TransportCredentials.
func (c meteredCredentials) Clone() credentials.TransportCredentials {
	return meteredCredentials{TransportCredentials: c.TransportCredentials.Clone(), meter: c.meter}
}

// connKey is the context key of the connection of a message.
type connKey struct{}

// TagConn implements stats.Handler.
func (m *meter) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return context.WithValue(ctx, connKey{}, m.conns[info.RemoteAddr.String()])
}

// HandleConn implements stats.Handler.
func (m *meter) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (m *meter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (m *meter) HandleRPC(ctx context.Context, event stats.RPCStats) {
	decoded, ok := event.(*stats.InPayload)
	if !ok {
		return
	}
	if c, _ := ctx.Value(connKey{}).(*meteredConn); c != nil {
		m.recordDecoded(c, int64(decoded.WireLength))
	}
}
