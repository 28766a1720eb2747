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
	own        = netip.MustParseAddrPort("127.0.0.1:1001")
	firstSeed  = netip.MustParseAddrPort("127.0.0.1:1002")
	secondSeed = netip.MustParseAddrPort("127.0.0.1:1003")
)

// peers answer requests at their addresses. A connection to a missing address is refused.
type peers struct {
	t       *testing.T
	answers map[netip.AddrPort]func(*peerstream.Stream[wire.Message])
	asked   []netip.AddrPort
	// deadlines are the read deadlines of all connections.
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
	return &recordingConn{Conn: near, peers: p}, nil
}

// recordingConn records the read deadlines.
type recordingConn struct {
	net.Conn
	peers *peers
}

func (c *recordingConn) SetReadDeadline(at time.Time) error {
	c.peers.deadlines = append(c.peers.deadlines, at)
	return c.Conn.SetReadDeadline(at)
}

// answerWith answers a request with a view of a term.
func answerWith(term int64) func(*peerstream.Stream[wire.Message]) {
	return func(stream *peerstream.Stream[wire.Message]) {
		received, err := stream.Receive(time.Second, time.Now)
		if err == nil && received.Request != nil && received.Request.Instance == "self" {
			_ = stream.Send(wire.Message{View: &wire.View{Term: term}})
		}
	}
}

func closeAtOnce(stream *peerstream.Stream[wire.Message]) { stream.Close() }

func doNotAnswer(*peerstream.Stream[wire.Message]) {}

func newRequester(t *testing.T, answers map[netip.AddrPort]func(*peerstream.Stream[wire.Message])) (*seed.Requester, *peers) {
	t.Helper()
	p := &peers{t: t, answers: answers}
	return &seed.Requester{Instance: "self", Own: own, Seeds: []netip.AddrPort{own, firstSeed, secondSeed}, Dial: p.dial, Now: time.Now}, p
}

type answers = map[netip.AddrPort]func(*peerstream.Stream[wire.Message])

func TestAskQueriesSeedsInOrderUntilEnough(t *testing.T) {
	requester, p := newRequester(t, answers{firstSeed: answerWith(4), secondSeed: answerWith(5)})
	var terms []int64
	requester.Ask(t.Context(), func() bool { return false }, func(v *wire.View) { terms = append(terms, v.Term) })
	assert.Equal(t, []int64{4, 5}, terms)
	assert.Equal(t, []netip.AddrPort{firstSeed, secondSeed}, p.asked, "the instance does not ask itself")

	requester, p = newRequester(t, answers{firstSeed: answerWith(4), secondSeed: answerWith(5)})
	requester.Ask(t.Context(), func() bool { return len(p.asked) == 1 }, func(*wire.View) {})
	assert.Equal(t, []netip.AddrPort{firstSeed}, p.asked)
}

func TestSeedThatDoesNotAnswerIsSkipped(t *testing.T) {
	cases := map[string]answers{
		"refuses connection": {secondSeed: answerWith(5)},
		"closes connection":  {firstSeed: closeAtOnce, secondSeed: answerWith(5)},
		"does not answer":    {firstSeed: doNotAnswer, secondSeed: answerWith(5)},
	}
	for name, answers := range cases {
		t.Run(name, func(t *testing.T) {
			requester, p := newRequester(t, answers)
			var times []time.Time
			requester.Now = func() time.Time {
				times = append(times, time.Now())
				return times[len(times)-1]
			}
			first := requester.Planner(t.Context())
			if assert.NotNil(t, first) {
				assert.EqualValues(t, 5, first.Term)
			}
			assert.Len(t, p.asked, 2)
			// The last deadline is that of the body of the received answer.
			for i, deadline := range p.deadlines[:len(p.deadlines)-1] {
				assert.Equal(t, times[i].Add(seed.Timeout), deadline)
			}
		})
	}
}

func TestPlannerWithoutAnswerIsNil(t *testing.T) {
	requester, _ := newRequester(t, nil)
	assert.Nil(t, requester.Planner(t.Context()))
	requester.Seeds = nil
	assert.Nil(t, requester.Planner(t.Context()))
}

func TestNoSeedIsAskedAfterContextEnds(t *testing.T) {
	requester, p := newRequester(t, answers{firstSeed: answerWith(4)})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Nil(t, requester.Planner(ctx))
	assert.Empty(t, p.asked)
}
