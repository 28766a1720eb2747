// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerlink_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/peerlink"
)

const (
	// patience bounds what a test waits for; nothing is expected to take that long.
	patience = 10 * time.Second
	pause    = time.Millisecond
	room     = 1000
)

// station is one instance's links with what has arrived there.
type station struct {
	*peerlink.Links
	address netip.AddrPort
	arrived chan fleet.Envelope
}

// start opens links at an address, or at a free one where the port is 0.
func start(t *testing.T, at string, o peerlink.Options) *station {
	t.Helper()
	listener, err := net.Listen("tcp", at)
	require.NoError(t, err)
	s := &station{address: netip.MustParseAddrPort(listener.Addr().String()), arrived: make(chan fleet.Envelope, room)}
	o.Receive = func(e fleet.Envelope) { s.arrived <- e }
	s.Links = peerlink.New(listener, o)
	t.Cleanup(s.Close)
	return s
}

const anywhere = "127.0.0.1:0"

// next gives the next envelope that arrives.
func (s *station) next(t *testing.T) fleet.Envelope {
	t.Helper()
	select {
	case e := <-s.arrived:
		return e
	case <-time.After(patience):
		require.Fail(t, "nothing arrived")
		return fleet.Envelope{}
	}
}

// numbered is an envelope that a receiver can tell from others.
func numbered(to netip.AddrPort, n int) fleet.Envelope {
	return fleet.Envelope{From: "i1", Boot: 7, To: to, Withdraw: &fleet.Withdraw{Pool: "h1/x", RequestID: strconv.Itoa(n)}}
}

// sendUntilOneArrives repeats what may be lost.
func sendUntilOneArrives(t *testing.T, from, to *station) {
	t.Helper()
	require.Eventually(t, func() bool {
		from.Send(numbered(to.address, 0))
		return len(to.arrived) > 0
	}, patience, pause)
}

func TestEnvelopesArriveOnceAndInOrder(t *testing.T) {
	from, to := start(t, anywhere, peerlink.Options{}), start(t, anywhere, peerlink.Options{})
	for i := range room {
		from.Send(numbered(to.address, i))
	}
	for i := range room {
		sent := numbered(netip.AddrPort{}, i)
		require.Equal(t, sent, to.next(t), "the address is not sent")
	}
	require.Empty(t, to.arrived)
	require.Zero(t, from.Dropped())
}

func TestEnvelopesToAPeerThatIsNotThereAreDroppedAndCounted(t *testing.T) {
	from, gone := start(t, anywhere, peerlink.Options{}), start(t, anywhere, peerlink.Options{})
	gone.Close()
	from.Send(numbered(gone.address, 1))
	from.Send(numbered(gone.address, 2))
	require.Eventually(t, func() bool { return from.Dropped() == 2 }, patience, pause)
}

func TestAPeerThatComesBackIsReachedAgain(t *testing.T) {
	from, first := start(t, anywhere, peerlink.Options{}), start(t, anywhere, peerlink.Options{})
	sendUntilOneArrives(t, from, first)
	first.Close()
	require.Eventually(t, func() bool {
		from.Send(numbered(first.address, 0))
		return from.Dropped() > 0
	}, patience, pause)
	second := start(t, first.address.String(), peerlink.Options{})
	sendUntilOneArrives(t, from, second)
}

func TestNothingLeavesForAnAddressThatIsCutOff(t *testing.T) {
	to := start(t, anywhere, peerlink.Options{})
	from := start(t, anywhere, peerlink.Options{Blocked: func(address netip.AddrPort) bool { return address == to.address }})
	from.Send(numbered(to.address, 1))
	require.Equal(t, int64(1), from.Dropped())
	_, err := from.Ask(context.Background(), to.address, peerlink.Question{})
	require.Equal(t, peerlink.ErrUnreachable{To: to.address, Reason: "cut off"}, err)
	require.Empty(t, to.arrived)
}

func TestAQuestionIsAnsweredByThePeer(t *testing.T) {
	question := peerlink.Question{Table: "pools", HallWide: true, Key: "k"}
	answer := peerlink.Answer{Rows: []byte("[]"), Silent: []string{"i3"}}
	asked := make(chan peerlink.Question, 1)
	from := start(t, anywhere, peerlink.Options{})
	to := start(t, anywhere, peerlink.Options{Answer: func(_ context.Context, q peerlink.Question) (peerlink.Answer, error) {
		asked <- q
		return answer, nil
	}})
	got, err := from.Ask(context.Background(), to.address, question)
	require.NoError(t, err)
	require.Equal(t, answer, got)
	require.Equal(t, question, <-asked)
}

func TestAQuestionWithoutAnAnswerIsAnErrorThatNamesThePeer(t *testing.T) {
	refusing := start(t, anywhere, peerlink.Options{Answer: func(context.Context, peerlink.Question) (peerlink.Answer, error) {
		return peerlink.Answer{}, errors.New("cause")
	}})
	late := start(t, anywhere, peerlink.Options{Answer: func(ctx context.Context, _ peerlink.Question) (peerlink.Answer, error) {
		<-ctx.Done()
		return peerlink.Answer{}, ctx.Err()
	}})
	gone := start(t, anywhere, peerlink.Options{})
	gone.Close()
	from := start(t, anywhere, peerlink.Options{})
	for name, to := range map[string]netip.AddrPort{"refusing": refusing.address, "late": late.address, "gone": gone.address, "no address": {}} {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		_, err := from.Ask(ctx, to, peerlink.Question{})
		cancel()
		var unreachable peerlink.ErrUnreachable
		require.ErrorAs(t, err, &unreachable, name)
		require.Equal(t, to, unreachable.To, name)
	}
}

func TestClosedLinksSendNothingAndDoNotBlock(t *testing.T) {
	from, to := start(t, anywhere, peerlink.Options{}), start(t, anywhere, peerlink.Options{})
	from.Close()
	from.Send(numbered(to.address, 1))
	_, err := from.Ask(context.Background(), to.address, peerlink.Question{})
	require.Equal(t, peerlink.ErrUnreachable{To: to.address, Reason: "closed"}, err)
	from.Close()
	require.Empty(t, to.arrived)
}
