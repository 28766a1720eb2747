// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package seed_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/seed"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

var (
	own   = netip.MustParseAddrPort("127.0.0.1:1001")
	one   = netip.MustParseAddrPort("127.0.0.1:1002")
	other = netip.MustParseAddrPort("127.0.0.1:1003")
)

// peers answer requests at their addresses; an address that is missing refuses the connection.
type peers struct {
	t       *testing.T
	answers map[netip.AddrPort]func(*peerstream.Stream[wire.Message])
	asked   []netip.AddrPort
	// deadlines are until when answers were waited for.
	deadlines []time.Time
}

func (p *peers) dial(_ context.Context, address netip.AddrPort) (net.Conn, error) {
	p.asked = append(p.asked, address)
	answer, ok := p.answers[address]
	if !ok {
		return nil, errors.New("refused")
	}
	near, far := net.Pipe()
	stream := peerstream.New[wire.Message](far)
	p.t.Cleanup(stream.Close)
	go answer(stream)
	return &watchedConn{Conn: near, peers: p}, nil
}

// watchedConn notes until when an answer is waited for.
type watchedConn struct {
	net.Conn
	peers *peers
}

func (c *watchedConn) SetReadDeadline(at time.Time) error {
	c.peers.deadlines = append(c.peers.deadlines, at)
	return c.Conn.SetReadDeadline(at)
}

// tells answers a request with a view of a term.
func tells(term int64) func(*peerstream.Stream[wire.Message]) {
	return func(stream *peerstream.Stream[wire.Message]) {
		received, err := stream.Receive(time.Second, time.Now)
		if err == nil && received.Request != nil && received.Request.Instance == "self" {
			_ = stream.Send(wire.Message{View: &wire.View{Term: term}})
		}
	}
}

func hangsUp(stream *peerstream.Stream[wire.Message]) { stream.Close() }

func staysSilent(*peerstream.Stream[wire.Message]) {}

func newAsker(t *testing.T, answers map[netip.AddrPort]func(*peerstream.Stream[wire.Message])) (*seed.Asker, *peers) {
	t.Helper()
	p := &peers{t: t, answers: answers}
	return &seed.Asker{Instance: "self", Own: own, Seeds: []netip.AddrPort{own, one, other}, Dial: p.dial, Now: time.Now}, p
}

type answers = map[netip.AddrPort]func(*peerstream.Stream[wire.Message])

func TestSeedsAreAskedInTurnUntilItIsEnough(t *testing.T) {
	asker, p := newAsker(t, answers{one: tells(4), other: tells(5)})
	var terms []int64
	asker.Ask(t.Context(), func() bool { return false }, func(v *wire.View) { terms = append(terms, v.Term) })
	assert.Equal(t, []int64{4, 5}, terms)
	assert.Equal(t, []netip.AddrPort{one, other}, p.asked, "it does not ask itself")

	asker, p = newAsker(t, answers{one: tells(4), other: tells(5)})
	asker.Ask(t.Context(), func() bool { return len(p.asked) == 1 }, func(*wire.View) {})
	assert.Equal(t, []netip.AddrPort{one}, p.asked)
}

func TestASeedThatDoesNotAnswerIsPassedOver(t *testing.T) {
	cases := map[string]answers{
		"refuses":      {other: tells(5)},
		"hangs up":     {one: hangsUp, other: tells(5)},
		"stays silent": {one: staysSilent, other: tells(5)},
	}
	for name, answers := range cases {
		t.Run(name, func(t *testing.T) {
			asker, p := newAsker(t, answers)
			var times []time.Time
			asker.Now = func() time.Time {
				times = append(times, time.Now())
				return times[len(times)-1]
			}
			first := asker.Planner(t.Context())
			if assert.NotNil(t, first) {
				assert.EqualValues(t, 5, first.Term)
			}
			assert.Len(t, p.asked, 2)
			// The last wait is that for the body of the answer that came.
			for i, deadline := range p.deadlines[:len(p.deadlines)-1] {
				assert.Equal(t, times[i].Add(seed.Timeout), deadline)
			}
		})
	}
}

func TestWithoutAnAnswerThereIsNone(t *testing.T) {
	asker, _ := newAsker(t, nil)
	assert.Nil(t, asker.Planner(t.Context()))
	asker.Seeds = nil
	assert.Nil(t, asker.Planner(t.Context()))
}

func TestNobodyIsAskedWhenTheProcessEnds(t *testing.T) {
	asker, p := newAsker(t, answers{one: tells(4)})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Nil(t, asker.Planner(ctx))
	assert.Empty(t, p.asked)
}
