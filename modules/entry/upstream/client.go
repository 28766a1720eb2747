// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/modules/entry/tcp"
)

// Options configure a Client.
type Options struct {
	// MaxIdle is how long a connection may be idle and still be reused.
	MaxIdle time.Duration
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	// Now returns the current time.
	Now func() time.Time
	// Dial opens a connection; nil dials TCP.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Paths chooses among several ways to an endpoint; its zero value uses Dial only.
	Paths Paths
}

// Paths are the functions by which a client uses several ways to an endpoint: over this instance's own links, or through another instance.
// Each of them may be nil.
type Paths struct {
	// Connect opens a connection in place of Options.Dial.
	Connect func(ctx context.Context, target Target) (Connected, error)
	// Reusable reports whether an idle connection may be used again.
	Reusable func(key string, peer netip.AddrPort) bool
	// Answered is called when the first answer has begun to arrive on a connection over an own link, Failed when such a connection failed
	// before that.
	Answered func(target Target)
	Failed   func(target Target)
}

// Connected is a new connection to an endpoint.
type Connected struct {
	net.Conn
	// Peer is the address of the instance through which the connection leads; not valid for a connection over an own link.
	Peer netip.AddrPort
}

// Client manages connections to endpoints. It is safe for concurrent use.
type Client struct {
	options Options
	mutex   sync.Mutex
	hosts   map[string]*host
	dialed  uint64
	// refusalChecks are the checks of the last refusalLifetime, by key.
	refusalChecks map[string]*refusalCheck
	activity      activity
}

// host holds the connections to one incarnation of an endpoint.
type host struct {
	idle []*connection
	open int
	// maxKept is how many connections may be open when one is kept after its exchange; unlimited reports that all are.
	maxKept   int
	unlimited bool
	// retired hosts close each connection after its exchange.
	retired bool
}

// Target is the destination of an exchange.
type Target struct {
	// Key identifies the incarnation; connections are never shared between keys.
	Key     string
	Address netip.AddrPort
	// MaxConnections bounds the open connections of the key; 0 means no bound.
	MaxConnections int
	// MaxKept is how many connections of the key may be open when one of them is kept after its exchange; only used with MaxConnections.
	MaxKept int
}

// unacknowledgedTimeout is how long sent bytes may stay unacknowledged by the endpoint's kernel: a link that loses packets needs some
// retransmissions, a broken link never answers. A higher value tolerates a lossy link, a lower one detects a broken link sooner.
const unacknowledgedTimeout = 1200 * time.Millisecond

// NewClient returns a client without connections.
func NewClient(options Options) *Client {
	if options.Dial == nil {
		dialer := tcp.Dialer{UserTimeout: unacknowledgedTimeout}
		options.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", address.String())
		}
	}
	return &Client{options: options, hosts: make(map[string]*host), refusalChecks: make(map[string]*refusalCheck), activity: newActivity()}
}

// DialCount returns the number of connections opened so far.
func (c *Client) DialCount() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dialed
}

// OpenCount returns the number of open connections, and how many of them carry no request.
func (c *Client) OpenCount() (open, idle int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, h := range c.hosts {
		open += h.open
		idle += len(h.idle)
	}
	return open, idle
}

// Retire closes the idle connections of a key, and those in use after their exchange.
func (c *Client) Retire(key string) {
	c.mutex.Lock()
	h, ok := c.hosts[key]
	if !ok {
		c.mutex.Unlock()
		return
	}
	delete(c.hosts, key)
	h.retired = true
	idle := h.idle
	h.idle = nil
	h.open -= len(idle)
	c.mutex.Unlock()
	for _, conn := range idle {
		conn.closeIgnoringError()
	}
}

// CloseIdle closes connections that have been idle for too long to be reused, and deletes keys without connections, since a key may be used
// again after Retire.
func (c *Client) CloseIdle(now time.Time) {
	var closing []*connection
	c.mutex.Lock()
	for key, h := range c.hosts {
		kept := h.idle[:0]
		for _, conn := range h.idle {
			if c.usable(now, key, conn) {
				kept = append(kept, conn)
				continue
			}
			closing = append(closing, conn)
			h.open--
		}
		clear(h.idle[len(kept):])
		h.idle = kept
		if h.open == 0 {
			delete(c.hosts, key)
		}
	}
	c.deleteOldRefusalChecks(now)
	c.mutex.Unlock()
	for _, conn := range closing {
		conn.closeIgnoringError()
	}
}

// acquire returns an idle connection or opens one.
func (c *Client) acquire(ctx context.Context, target Target) (*connection, *host, error) {
	now := c.options.Now()
	c.mutex.Lock()
	h := c.host(target.Key)
	h.maxKept, h.unlimited = target.MaxKept, target.MaxConnections == 0
	for len(h.idle) > 0 {
		last := len(h.idle) - 1
		conn := h.idle[last]
		h.idle[last] = nil
		h.idle = h.idle[:last]
		if c.usable(now, target.Key, conn) {
			c.mutex.Unlock()
			return conn, h, nil
		}
		h.open--
		conn.closeIgnoringError()
	}
	c.mutex.Unlock()
	conn, err := c.open(ctx, target, h)
	return conn, h, err
}

// usable reports whether an idle connection of a key may carry another request.
func (c *Client) usable(now time.Time, key string, conn *connection) bool {
	if c.options.Paths.Reusable != nil && !c.options.Paths.Reusable(key, conn.peer) {
		return false
	}
	return conn.usable(now, c.options.MaxIdle)
}

// host returns the host of a key, creating it if necessary. The caller must hold the mutex.
func (c *Client) host(key string) *host {
	h, ok := c.hosts[key]
	if !ok {
		h = &host{}
		c.hosts[key] = h
	}
	return h
}

// open opens a connection to a host, or returns ErrNoConnection if the host has as many as allowed.
func (c *Client) open(ctx context.Context, target Target, h *host) (*connection, error) {
	c.mutex.Lock()
	if target.MaxConnections > 0 && h.open >= target.MaxConnections {
		c.mutex.Unlock()
		return nil, ErrNoConnection
	}
	h.open++
	c.dialed++
	c.mutex.Unlock()
	conn, err := c.dial(ctx, target)
	if err != nil {
		c.discard(h, nil)
		return nil, err
	}
	if c.isRetired(h) {
		// The endpoint was retired before anything was sent: its process may have ended, and its address may belong to another process.
		c.discard(h, conn)
		return nil, ErrRetired
	}
	return conn, nil
}

func (c *Client) isRetired(h *host) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return h.retired
}

func (c *Client) dial(ctx context.Context, target Target) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	if c.options.Paths.Connect != nil {
		connected, err := c.options.Paths.Connect(ctx, target)
		if err != nil {
			return nil, err
		}
		conn := newConnection(connected.Conn)
		conn.peer = connected.Peer
		return conn, nil
	}
	conn, err := c.options.Dial(ctx, target.Address)
	if err != nil {
		return nil, err
	}
	return newConnection(conn), nil
}

// release returns a connection to the idle connections, or closes it if too many are open.
func (c *Client) release(h *host, conn *connection) {
	conn.idleSince = c.options.Now()
	c.mutex.Lock()
	if h.retired || (!h.unlimited && h.open > h.maxKept) {
		c.mutex.Unlock()
		c.discard(h, conn)
		return
	}
	h.idle = append(h.idle, conn)
	c.mutex.Unlock()
}

// discard closes a connection and no longer counts it as open.
func (c *Client) discard(h *host, conn *connection) {
	c.mutex.Lock()
	h.open--
	c.mutex.Unlock()
	if conn != nil {
		conn.closeIgnoringError()
	}
}
