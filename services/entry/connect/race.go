// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package connect

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/tunnel"
	"github.com/shelfledge/shelfledge/modules/entry/upstream"
	"github.com/shelfledge/shelfledge/services/entry/reach"
)

// secondWayDelay is how long the first way to an endpoint may take until the second one is tried as well. A higher value asks other
// instances less often where connections are slow, a lower one loses less time to a link that is silent.
const secondWayDelay = 150 * time.Millisecond

// ways is the number of ways to an endpoint.
const ways = 2

// way is one way to connect to an endpoint.
type way func(ctx context.Context, target upstream.Target) (upstream.Connected, error)

// attempt is the result of one way.
type attempt struct {
	connected upstream.Connected
	err       error
	second    bool
	// peer is the instance that was asked; not valid for a race of two ways.
	peer netip.AddrPort
}

// Connect opens a connection to an endpoint within the time of the context. Its error matches syscall.ECONNREFUSED only if the endpoint
// refused this instance and, where another one was asked, that one as well.
func (c *Connector) Connect(ctx context.Context, target upstream.Target) (upstream.Connected, error) {
	c.remember(target)
	switch c.order(target) {
	case reach.OwnLinkOnly:
		return c.connectOverOwnLink(ctx, target)
	case reach.PeerFirst:
		connected, viaPeer, own := race(ctx, target, c.connectThroughPeer, c.connectOverOwnLink)
		return connected, c.combine(target, own, viaPeer)
	default:
		connected, own, viaPeer := race(ctx, target, c.connectOverOwnLink, c.connectThroughPeer)
		if connected.Conn != nil && connected.Peer.IsValid() {
			c.recordBypassed(target)
		}
		return connected, c.combine(target, own, viaPeer)
	}
}

// order returns the order of the ways to an endpoint.
func (c *Connector) order(target upstream.Target) reach.Order {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.peers.empty() {
		return reach.OwnLinkOnly
	}
	return c.links.Order(c.options.Now(), deployment.EndpointID(target.Key))
}

// race tries the first way, and the second one as well once the first has failed or has taken secondWayDelay. It returns the first
// connection, or the errors of both ways. A connection that comes later is closed.
func race(ctx context.Context, target upstream.Target, first, second way) (connected upstream.Connected, firstErr, secondErr error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// There is room for both results, so that no way has to wait for the other one.
	results := make(chan attempt, ways)
	pending := 0
	start := func(connect way, isSecond bool) {
		pending++
		go func() {
			connected, err := connect(ctx, target)
			results <- attempt{connected: connected, err: err, second: isSecond}
		}()
	}
	start(first, false)
	secondDue := time.After(secondWayDelay)
	for pending > 0 {
		select {
		case <-secondDue:
			secondDue = nil
			start(second, true)
		case result := <-results:
			pending--
			if result.err == nil {
				go closeLater(results, pending)
				return result.connected, nil, nil
			}
			if result.second {
				secondErr = result.err
				continue
			}
			firstErr = result.err
			if secondDue != nil {
				secondDue = nil
				start(second, true)
			}
		}
	}
	return upstream.Connected{}, firstErr, secondErr
}

// closeLater closes the connections of attempts that are not needed any more.
func closeLater(results <-chan attempt, pending int) {
	for range pending {
		if late := <-results; late.err == nil {
			// The connection was not used, so that an error has no consequence.
			_ = late.connected.Close()
		}
	}
}

// combine returns the error for two ways that failed; nil if none did.
func (c *Connector) combine(target upstream.Target, own, viaPeer error) error {
	if own == nil && viaPeer == nil {
		return nil
	}
	id := deployment.EndpointID(target.Key)
	refused := errors.Is(own, syscall.ECONNREFUSED)
	if tunnel.IsVerdict(viaPeer) && refused == errors.Is(viaPeer, tunnel.ErrRefused) {
		c.update(func(now time.Time) { c.links.RecordVain(now, id) })
	}
	if refused && (errors.Is(viaPeer, tunnel.ErrRefused) || !contradicts(viaPeer) && !c.LinkBroken(id)) {
		return own
	}
	return fmt.Errorf("connect: over an own link: %v; through another instance: %v", own, viaPeer) //nolint:errorlint // A refusal that only one of two instances saw must not match.
}

// contradicts reports whether the answer of another instance leaves open that only the own link is at fault: the endpoint was silent there
// instead of refusing, or the other instance is cut off itself. One that cannot be asked, or knows no such endpoint, contradicts nothing.
func contradicts(viaPeer error) bool {
	var unavailable *tunnel.UnavailableError
	return tunnel.IsVerdict(viaPeer) || (errors.As(viaPeer, &unavailable) && !tunnel.IsUnknown(viaPeer))
}

// connectOverOwnLink connects over an own link. A link that must prove itself is used only once the endpoint has answered over it.
func (c *Connector) connectOverOwnLink(ctx context.Context, target upstream.Target) (upstream.Connected, error) {
	if !c.mustProve(target) {
		return c.dialOwnLink(ctx, target)
	}
	connected, err := c.connectProven(ctx, target, c.dialOwnLink)
	if err != nil {
		return upstream.Connected{}, err
	}
	c.recordConnected(target)
	return connected, nil
}

// errNotAnswered is returned for a connection that was accepted and over which the endpoint did not answer.
var errNotAnswered = errors.New("connect: no answer over the connection")

// mustProve reports whether the own link to an endpoint must prove itself by an answer of the endpoint.
func (c *Connector) mustProve(target upstream.Target) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.links.MustProve(c.options.Now(), deployment.EndpointID(target.Key))
}

// connectThroughPeer connects through another instance: one after the other is asked, without waiting for long for any of them, until the
// endpoint has answered through one of them.
func (c *Connector) connectThroughPeer(ctx context.Context, target upstream.Target) (upstream.Connected, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	candidates := c.candidates()
	results := make(chan attempt, len(candidates))
	pending := 0
	err := errNoPeer
	var unanswered []netip.AddrPort
	for next := 0; next < len(candidates) || pending > 0; {
		var nextDue <-chan time.Time
		if next < len(candidates) {
			address := candidates[next]
			next++
			pending++
			go func() { results <- c.askPeer(ctx, address, target) }()
			nextDue = time.After(nextPeerDelay)
		}
		select {
		case <-nextDue:
		case result := <-results:
			pending--
			if result.err == nil {
				go closeLater(results, pending)
				c.recordPeers(result.peer, unanswered)
				return result.connected, nil
			}
			if errors.Is(result.err, errNotAnswered) {
				unanswered = append(unanswered, result.peer)
			}
			err = clearer(err, result.err)
		}
	}
	return upstream.Connected{}, err
}

// askPeer connects through the instance at an address.
func (c *Connector) askPeer(ctx context.Context, address netip.AddrPort, target upstream.Target) attempt {
	throughPeer := func(ctx context.Context, target upstream.Target) (upstream.Connected, error) {
		return c.openTunnel(ctx, address, target)
	}
	connected, err := c.connectProven(ctx, target, throughPeer)
	return attempt{connected: connected, err: err, peer: address}
}

// clearer returns the error that tells more about the endpoint: a refusal most, then that it was not reached, then anything else that
// another instance answered.
func clearer(known, other error) error {
	var unavailable *tunnel.UnavailableError
	switch {
	case errors.Is(known, tunnel.ErrRefused):
		return known
	case errors.Is(other, tunnel.ErrRefused), tunnel.IsVerdict(other):
		return other
	case tunnel.IsVerdict(known), errors.As(known, &unavailable):
		return known
	default:
		return other
	}
}

// openTunnel opens a tunnel to an endpoint through the instance at an address.
func (c *Connector) openTunnel(ctx context.Context, address netip.AddrPort, target upstream.Target) (upstream.Connected, error) {
	conn, err := c.options.DialPeer(ctx, address)
	if err == nil {
		err = tunnel.Open(ctx, conn, tunnel.Target{Endpoint: target.Key, Address: target.Address})
	}
	if err == nil {
		return upstream.Connected{Conn: conn, Peer: address}, nil
	}
	if conn != nil {
		// Nothing was sent to the endpoint, so that an error has no consequence.
		_ = conn.Close()
	}
	if ctx.Err() == nil && !tunnel.IsVerdict(err) && !tunnel.IsUnknown(err) {
		c.recordPeerFailed(address)
	}
	return upstream.Connected{}, err
}
