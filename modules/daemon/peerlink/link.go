// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerlink

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/bounded"
)

// Options are the settings of Links.
type Options struct {
	// Receive is called with each received envelope; it must not block for long.
	Receive func(fleet.Envelope)
	// Answer returns the answer to a peer's question.
	Answer func(ctx context.Context, q Question) (Answer, error)
	// ServerCredentials and ClientCredentials are nil for plain TCP.
	ServerCredentials credentials.TransportCredentials
	ClientCredentials credentials.TransportCredentials
	// Blocked, if set, reports whether messages to an address are dropped, for tests of network partitions.
	Blocked func(to netip.AddrPort) bool
	// MaxSilence is how long the next whole message of an open stream may take; zero means defaultMaxSilence.
	MaxSilence time.Duration
	// Refused, if set, is called when a connection of a peer was refused because too many are open, at most once a second, with how many were so far.
	Refused func(from netip.Addr, refused int)
	// Ended, if set, is called when a connection of a peer was closed because too many bytes of messages were under way, most of them there.
	Ended func(from net.Addr, bytes int64)
	// Now returns the current time, by which the age of queued envelopes is measured; nil means time.Now.
	Now func() time.Time
}

// Links holds the streams to all peers and the server that receives from them. It is safe for concurrent use.
type Links struct {
	options Options
	server  *grpc.Server
	mutex   sync.Mutex
	peers   map[netip.AddrPort]*peer
	closed  bool
	dropped atomic.Int64
}

const (
	// queueLength is the maximum number of envelopes in the queue for one peer. A longer queue covers longer stalls, but needs more memory and
	// delivers older messages.
	queueLength = 4096
	// maxQueuedBytes is the number of bytes, by fleet.Envelope.Size, from which on further envelopes for a peer are dropped: 2 MiB. This holds
	// several snapshots of a catalog of 5,000 adapters, of 0.3 MB each. A link of 10 Mbit/s sends it in 1.7 s, which is within maxQueueAge.
	// The last envelope may exceed the limit, so that no message is too large to be sent.
	maxQueuedBytes = 2097152
	// maxQueueAge is the maximum time in the queue after which an envelope is still sent. Receivers count the age of an envelope from its
	// arrival, so that a higher limit makes them treat older messages as new. A lower limit drops messages that wait behind a large one on
	// a slow link, which takes 1.7 s for maxQueuedBytes.
	maxQueueAge = 2 * time.Second
	// sendTimeoutBase and minSendRate bound the time of a send, which waits until the previous envelope is sent. The timeout is sendTimeoutBase
	// plus the time that the bytes of both envelopes take at minSendRate, in bytes per second: a tenth of a link of 10 Mbit/s. A longer
	// timeout tolerates longer stalls of a peer; a shorter one detects a blocked peer sooner, whose connection is then reopened.
	sendTimeoutBase = 3 * time.Second
	minSendRate     = 125_000
	// maxMessageBytes bounds a message, in bytes: 32 MiB. The largest messages are snapshots of the configuration.
	maxMessageBytes = 33554432
	// maxPeerStreams bounds the streams that a peer has open over one connection: one for its envelopes and one for each operators' query that
	// it asks at the moment. A peer's further streams wait at the peer. A higher limit answers more queries at once; a lower one bounds the
	// goroutines and the messages under way that one peer causes.
	maxPeerStreams = 64
	// maxConnections and maxConnectionsOfHost bound the connections that peers have opened, of which each instance needs one. Higher values
	// allow larger fleets, lower ones bound what peers take that do not close theirs, and what one of them takes from the others.
	maxConnections       = 1024
	maxConnectionsOfHost = 256
	// connectionTimeout is how long the set-up of a connection from a peer may take. A longer timeout tolerates slower peers, a shorter one frees
	// the connections that send nothing sooner.
	connectionTimeout = 10 * time.Second
	// maxBytesUnderWay bounds the bytes of messages that have arrived from all peers and are not decoded yet, 64 MiB: two of the largest. A higher
	// value receives more large messages at once, a lower one takes less memory.
	maxBytesUnderWay = 67108864
	// maxHeaderBytes bounds the metadata of a stream from a peer, in bytes: 32 KiB. Peers send a few hundred. A higher value accepts more, a lower
	// one bounds what the streams of a connection hold for as long as they are open.
	maxHeaderBytes = 32768
	// peerIdleTimeout is how long the connection to a peer is kept after the last envelope was sent to it.
	peerIdleTimeout = 2 * time.Minute
	// defaultMaxSilence is how long a receiver waits for the next whole message of a stream: as long as a sender may be idle and then take for two
	// of the largest messages. A longer time tolerates other senders, a shorter one frees the memory of a message that does not end sooner.
	defaultMaxSilence = 11 * time.Minute
	// questionTimeout is how long a question of a peer may take to arrive, a few hundred bytes at most. answerTimeout is how long the answer to it may
	// take from then on until it is sent, as far as the peer reads it. Longer times tolerate slower peers, shorter ones free what peers hold
	// that send or read nothing sooner.
	questionTimeout = 5 * time.Second
	answerTimeout   = 30 * time.Second
	// reconnectDelay is the delay before the first attempt to reconnect. Each further delay is backoffGrowth times longer, up to maxBackoff,
	// and is varied at random by the fraction backoffJitter, so that peers do not all reconnect at once.
	reconnectDelay = 100 * time.Millisecond
	backoffGrowth  = 1.6
	backoffJitter  = 0.3
	maxBackoff     = time.Second
	// pingInterval is the time without messages after which the server sends a keep-alive ping to a client, pingTimeout the time within which
	// the client must respond.
	pingInterval = 20 * time.Second
	pingTimeout  = 10 * time.Second
)

// New returns Links that receive on the listener.
func New(listener net.Listener, o Options) *Links {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.MaxSilence <= 0 {
		o.MaxSilence = defaultMaxSilence
	}
	if o.Refused == nil {
		o.Refused = func(netip.Addr, int) {}
	}
	if o.Ended == nil {
		o.Ended = func(net.Addr, int64) {}
	}
	l := &Links{options: o, peers: make(map[netip.AddrPort]*peer)}
	creds := o.ServerCredentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	received := newMeter(o.Ended)
	l.server = grpc.NewServer(
		grpc.Creds(meteredCredentials{TransportCredentials: creds, meter: received}), grpc.StatsHandler(received), grpc.ConnectionTimeout(connectionTimeout),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxConcurrentStreams(maxPeerStreams),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
	)
	l.server.RegisterService(&serviceDescription, l)
	// Serve returns an error only if the listener fails. Peers that reconnect are then not received from any more, and package membership
	// treats them as lost, so that the error is ignored here.
	accepting := bounded.NewListener(listener, bounded.ListenerOptions{
		MaxOpen: maxConnections, MaxOpenFrom: maxConnectionsOfHost, OnRefuse: o.Refused, Now: o.Now,
	})
	go func() { _ = l.server.Serve(accepting) }()
	return l
}

func (l *Links) receive(e fleet.Envelope) {
	l.options.Receive(e)
}

func (l *Links) maxSilence() time.Duration {
	return l.options.MaxSilence
}

func (l *Links) answer(ctx context.Context, q Question) (Answer, error) {
	return l.options.Answer(ctx, q)
}

// Dropped returns the number of envelopes that were dropped instead of sent.
func (l *Links) Dropped() int64 {
	return l.dropped.Load()
}

// Send adds an envelope to the queue for its peer, or drops it if the queue is full.
func (l *Links) Send(e fleet.Envelope) {
	if l.options.Blocked != nil && l.options.Blocked(e.To) {
		l.dropped.Add(1)
		return
	}
	p := l.peer(e.To)
	if p == nil {
		return
	}
	if !p.enqueue(e, l.options.Now()) {
		l.dropped.Add(1)
	}
}

// peer returns the peer at an address and starts its sending goroutine on first use. It returns nil for an invalid address and after Close.
func (l *Links) peer(to netip.AddrPort) *peer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed || !to.IsValid() {
		return nil
	}
	if p, ok := l.peers[to]; ok {
		return p
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &peer{links: l, address: to, queue: make(chan queuedEnvelope, queueLength), cancel: cancel}
	l.peers[to] = p
	go p.run(ctx)
	return p
}

// removePeer stops the sending goroutine of a peer and removes the peer, unless envelopes are queued for it.
func (l *Links) removePeer(p *peer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.peers[p.address] == p && len(p.queue) == 0 {
		delete(l.peers, p.address)
		p.cancel()
	}
}

func (l *Links) dial(to netip.AddrPort) (*grpc.ClientConn, error) {
	creds := l.options.ClientCredentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	conn, err := grpc.NewClient("passthrough:///"+to.String(),
		grpc.WithTransportCredentials(creds),
		grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(codecName), grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{BaseDelay: reconnectDelay, Multiplier: backoffGrowth, Jitter: backoffJitter, MaxDelay: maxBackoff}, MinConnectTimeout: maxBackoff,
		}),
	)
	if err != nil {
		return nil, ErrUnreachable{To: to, Reason: err.Error()}
	}
	return conn, nil
}

// ErrUnreachable reports a peer that did not answer a question.
type ErrUnreachable struct {
	To     netip.AddrPort
	Reason string
}

// Error returns the address of the peer and the reason.
func (e ErrUnreachable) Error() string {
	return fmt.Sprintf("peer %s cannot be reached: %s", e.To, e.Reason)
}

// Ask sends a question to a peer and waits for the answer.
func (l *Links) Ask(ctx context.Context, to netip.AddrPort, q Question) (Answer, error) {
	if l.options.Blocked != nil && l.options.Blocked(to) {
		return Answer{}, ErrUnreachable{To: to, Reason: "cut off"}
	}
	p := l.peer(to)
	if p == nil {
		return Answer{}, ErrUnreachable{To: to, Reason: "closed"}
	}
	conn, err := p.connection()
	if err != nil {
		return Answer{}, err
	}
	var a Answer
	if err := conn.Invoke(ctx, askMethod, &q, &a); err != nil {
		return Answer{}, ErrUnreachable{To: to, Reason: err.Error()}
	}
	return a, nil
}

// Close closes all streams and stops the server, without waiting for queued envelopes.
func (l *Links) Close() {
	l.mutex.Lock()
	l.closed = true
	for _, p := range l.peers {
		p.cancel()
	}
	l.mutex.Unlock()
	l.server.Stop()
}
