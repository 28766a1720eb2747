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
	// testTimeout bounds each wait of a test; no wait is expected to take that long.
	testTimeout   = 10 * time.Second
	pollInterval  = time.Millisecond
	receiveBuffer = 1000
)

// testNode is an instance that collects the received envelopes.
type testNode struct {
	*peerlink.Links
	address  netip.AddrPort
	received chan fleet.Envelope
}

// startNode starts a node that listens on listenAddress; port 0 means any free port.
func startNode(t *testing.T, listenAddress string, o peerlink.Options) *testNode {
	t.Helper()
	listener, err := net.Listen("tcp", listenAddress)
	require.NoError(t, err)
	s := &testNode{address: netip.MustParseAddrPort(listener.Addr().String()), received: make(chan fleet.Envelope, receiveBuffer)}
	o.Receive = func(e fleet.Envelope) { s.received <- e }
	s.Links = peerlink.New(listener, o)
	t.Cleanup(s.Close)
	return s
}

const loopbackAddress = "127.0.0.1:0"

// receive waits for the next envelope and returns it.
func (s *testNode) receive(t *testing.T) fleet.Envelope {
	t.Helper()
	select {
	case e := <-s.received:
		return e
	case <-time.After(testTimeout):
		require.Fail(t, "no envelope was received")
		return fleet.Envelope{}
	}
}

// numberedEnvelope returns an envelope that a receiver can identify by its number.
func numberedEnvelope(to netip.AddrPort, n int) fleet.Envelope {
	return fleet.Envelope{From: "i1", Boot: 7, To: to, Withdraw: &fleet.Withdraw{Pool: "h1/x", RequestID: strconv.Itoa(n)}}
}

// sendUntilReceived sends envelopes, which may be lost, until one is received.
func sendUntilReceived(t *testing.T, from, to *testNode) {
	t.Helper()
	require.Eventually(t, func() bool {
		from.Send(numberedEnvelope(to.address, 0))
		return len(to.received) > 0
	}, testTimeout, pollInterval)
}

func TestEnvelopesArriveOnceInOrder(t *testing.T) {
	from, to := startNode(t, loopbackAddress, peerlink.Options{}), startNode(t, loopbackAddress, peerlink.Options{})
	for i := range receiveBuffer {
		from.Send(numberedEnvelope(to.address, i))
	}
	for i := range receiveBuffer {
		sent := numberedEnvelope(netip.AddrPort{}, i)
		require.Equal(t, sent, to.receive(t), "the address is not sent")
	}
	require.Empty(t, to.received)
	require.Zero(t, from.Dropped())
}

func TestEnvelopesToUnreachablePeerAreDroppedAndCounted(t *testing.T) {
	from, closed := startNode(t, loopbackAddress, peerlink.Options{}), startNode(t, loopbackAddress, peerlink.Options{})
	closed.Close()
	from.Send(numberedEnvelope(closed.address, 1))
	from.Send(numberedEnvelope(closed.address, 2))
	require.Eventually(t, func() bool { return from.Dropped() == 2 }, testTimeout, pollInterval)
}

func TestRestartedPeerIsReconnected(t *testing.T) {
	from, first := startNode(t, loopbackAddress, peerlink.Options{}), startNode(t, loopbackAddress, peerlink.Options{})
	sendUntilReceived(t, from, first)
	first.Close()
	require.Eventually(t, func() bool {
		from.Send(numberedEnvelope(first.address, 0))
		return from.Dropped() > 0
	}, testTimeout, pollInterval)
	second := startNode(t, first.address.String(), peerlink.Options{})
	sendUntilReceived(t, from, second)
}

func TestNothingIsSentToBlockedAddress(t *testing.T) {
	to := startNode(t, loopbackAddress, peerlink.Options{})
	from := startNode(t, loopbackAddress, peerlink.Options{Blocked: func(address netip.AddrPort) bool { return address == to.address }})
	from.Send(numberedEnvelope(to.address, 1))
	require.Equal(t, int64(1), from.Dropped())
	_, err := from.Ask(context.Background(), to.address, peerlink.Question{})
	require.Equal(t, peerlink.ErrUnreachable{To: to.address, Reason: "cut off"}, err)
	require.Empty(t, to.received)
}

func TestAskReturnsAnswerOfPeer(t *testing.T) {
	question := peerlink.Question{Table: "pools", HallWide: true, Key: "k"}
	answer := peerlink.Answer{Rows: []byte("[]"), Silent: []string{"i3"}}
	asked := make(chan peerlink.Question, 1)
	from := startNode(t, loopbackAddress, peerlink.Options{})
	to := startNode(t, loopbackAddress, peerlink.Options{Answer: func(_ context.Context, q peerlink.Question) (peerlink.Answer, error) {
		asked <- q
		return answer, nil
	}})
	got, err := from.Ask(context.Background(), to.address, question)
	require.NoError(t, err)
	require.Equal(t, answer, got)
	require.Equal(t, question, <-asked)
}

func TestFailedAskNamesPeer(t *testing.T) {
	refusing := startNode(t, loopbackAddress, peerlink.Options{Answer: func(context.Context, peerlink.Question) (peerlink.Answer, error) {
		return peerlink.Answer{}, errors.New("cause")
	}})
	slow := startNode(t, loopbackAddress, peerlink.Options{Answer: func(ctx context.Context, _ peerlink.Question) (peerlink.Answer, error) {
		<-ctx.Done()
		return peerlink.Answer{}, ctx.Err()
	}})
	closed := startNode(t, loopbackAddress, peerlink.Options{})
	closed.Close()
	from := startNode(t, loopbackAddress, peerlink.Options{})
	for name, to := range map[string]netip.AddrPort{"refusing": refusing.address, "slow": slow.address, "closed": closed.address, "no address": {}} {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		_, err := from.Ask(ctx, to, peerlink.Question{})
		cancel()
		var unreachable peerlink.ErrUnreachable
		require.ErrorAs(t, err, &unreachable, name)
		require.Equal(t, to, unreachable.To, name)
	}
}

func TestClosedLinksDropMessagesWithoutBlocking(t *testing.T) {
	from, to := startNode(t, loopbackAddress, peerlink.Options{}), startNode(t, loopbackAddress, peerlink.Options{})
	from.Close()
	from.Send(numberedEnvelope(to.address, 1))
	_, err := from.Ask(context.Background(), to.address, peerlink.Question{})
	require.Equal(t, peerlink.ErrUnreachable{To: to.address, Reason: "closed"}, err)
	from.Close()
	require.Empty(t, to.received)
}
