// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerlink_test

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/peerlink"
)

// stuck is a station that takes nothing until it is released.
type stuck struct {
	address  netip.AddrPort
	released chan struct{}
	numbered chan fleet.Envelope
}

func startStuck(t *testing.T) *stuck {
	t.Helper()
	listener, err := net.Listen("tcp", anywhere)
	require.NoError(t, err)
	s := &stuck{address: netip.MustParseAddrPort(listener.Addr().String()), released: make(chan struct{}), numbered: make(chan fleet.Envelope, room)}
	links := peerlink.New(listener, peerlink.Options{Receive: func(e fleet.Envelope) {
		<-s.released
		if e.Withdraw != nil {
			s.numbered <- e
		}
	}})
	t.Cleanup(links.Close)
	return s
}

// fill sends envelopes of a size until no more may wait.
func fill(t *testing.T, from *station, to netip.AddrPort, bytes int) {
	t.Helper()
	require.Eventually(t, func() bool {
		from.Send(fleet.Envelope{From: "i1", Boot: 7, To: to, Records: &fleet.Records{Snapshot: make([]byte, bytes)}})
		return from.Dropped() > 0
	}, patience, pause)
}

func TestWhatWaitedTooLongIsNotSent(t *testing.T) {
	t.Parallel()
	to := startStuck(t)
	var late atomic.Int64
	begun := time.Unix(1000, 0)
	from := start(t, anywhere, peerlink.Options{Now: func() time.Time { return begun.Add(time.Duration(late.Load())) }})
	// Four of 512 KiB wait at 2 MiB, the first of which may have begun to leave. A drop does not tell that: on a starved host the first one
	// may be dropped since there is no connection yet. Until the clock moves, the next one may begin to leave, too; what waits then is old.
	require.Eventually(t, func() bool {
		from.Send(fleet.Envelope{From: "i1", Boot: 7, To: to.address, Records: &fleet.Records{Snapshot: make([]byte, 512<<10)}})
		return from.Queued(to.address) >= 3
	}, patience, pause)
	before := from.Dropped()
	late.Store(int64(2*time.Second + 1))
	waiting := from.Queued(to.address)
	require.NotZero(t, waiting)
	close(to.released)
	require.Eventually(t, func() bool { return from.Dropped() >= before+int64(waiting) }, patience, pause, "all that waited are dropped")
	from.Send(numbered(to.address, 1))
	select {
	case e := <-to.numbered:
		require.Equal(t, "1", e.Withdraw.RequestID, "what is new is sent")
	case <-time.After(patience):
		require.Fail(t, "nothing arrived")
	}
}

func TestASendToAPeerThatTakesNothingIsGivenUp(t *testing.T) {
	t.Parallel()
	to := startStuck(t)
	// The clock stands still, so that nothing is dropped for its age.
	from := start(t, anywhere, peerlink.Options{Now: func() time.Time { return time.Unix(1000, 0) }})
	fill(t, from, to.address, 32<<10)
	before := from.Dropped()
	// 3 s, and two envelopes of 32 KiB at 125,000 bytes a second.
	const limit = 3530 * time.Millisecond
	begun := time.Now()
	require.Eventually(t, func() bool { return from.Dropped() > before }, 2*limit, 10*pause)
	require.Greater(t, time.Since(begun), limit/2, "a slow link has time for it")
	close(to.released)
	require.Eventually(t, func() bool {
		from.Send(numbered(to.address, 1))
		return len(to.numbered) > 0
	}, patience, pause, "the connection is made anew")
}
