// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package seed

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// Timeout is the timeout of the request to one seed. A longer time tolerates slow peers, but tries the next seed later.
const Timeout = 600 * time.Millisecond

// Requester sends requests to the seeds in the order of the settings. It is safe for concurrent use.
type Requester struct {
	// Instance is the name of this instance; Own is its own address, which is skipped among the seeds.
	Instance string
	Own      netip.AddrPort
	Seeds    []netip.AddrPort
	// Dial connects to a peer; Now returns the current time.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Now  func() time.Time
}

// Ask requests the state of one seed after the other and passes each answer to take, until enough returns true or the context ends.
// Seeds that do not answer are skipped.
func (r *Requester) Ask(ctx context.Context, enough func() bool, take func(*wire.View)) {
	r.askAll(ctx, wire.Request{Instance: r.Instance}, enough, take)
}

// askAll sends a request to one seed after the other until enough returns true or the context ends.
func (r *Requester) askAll(ctx context.Context, request wire.Request, enough func() bool, take func(*wire.View)) {
	for _, seed := range r.Seeds {
		if enough() || ctx.Err() != nil {
			return
		}
		if seed == r.Own {
			continue
		}
		if answer := r.askOne(ctx, seed, request); answer != nil {
			take(answer)
		}
	}
}

// Planner asks the seeds for the present planner and returns the first answer; nil if no seed answers.
func (r *Requester) Planner(ctx context.Context) *wire.View {
	var first *wire.View
	request := wire.Request{Instance: r.Instance, PlannerOnly: true}
	r.askAll(ctx, request, func() bool { return first != nil }, func(answer *wire.View) { first = answer })
	return first
}

// askOne sends a request to a peer and returns its view; nil if it does not answer, for whatever reason.
func (r *Requester) askOne(ctx context.Context, address netip.AddrPort, request wire.Request) *wire.View {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	conn, err := r.Dial(ctx, address)
	if err != nil {
		return nil
	}
	stream := peerstream.New[wire.Message](conn)
	defer stream.Close()
	if err := stream.Send(wire.Message{Request: &request}); err != nil {
		return nil
	}
	received, err := stream.Receive(Timeout, r.Now)
	if err != nil {
		return nil
	}
	return received.View
}
