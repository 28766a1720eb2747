// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/modules/bounded"
	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

const (
	// maxPeerConnections and maxPeerConnectionsOfHost bound the connections that peers have opened. Higher values allow larger fleets,
	// lower ones bound what peers take that do not close theirs, and what one of them takes from the others.
	maxPeerConnections       = 1024
	maxPeerConnectionsOfHost = 256
	// maxReceivedBytes bounds the bytes of large messages that are being received over these connections: four of the largest. A higher value
	// receives more of them at once, a lower one takes less memory.
	maxReceivedBytes = 32 << 20
)

// boundPeers returns a listener that accepts a bounded number of connections.
func (c *Coordinator) boundPeers(listener net.Listener) net.Listener {
	return bounded.NewListener(listener, bounded.ListenerOptions{
		MaxOpen: maxPeerConnections, MaxOpenFrom: maxPeerConnectionsOfHost, Now: c.options.TimerNow,
		OnRefuse: func(from netip.Addr, refused int) {
			c.options.Log.WithFields(logrus.Fields{"from": from, "refused": refused}).Warn("a connection of a peer was refused, since too many are open")
		},
	})
}

// servePeers accepts the connections of peers until the coordinator stops.
func (c *Coordinator) servePeers(listener net.Listener) {
	listener = c.boundPeers(listener)
	room := peerstream.NewRoom(maxReceivedBytes)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-c.context.Done():
		case <-stop:
		}
		_ = listener.Close()
	}()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if c.context.Err() != nil {
				return
			}
			// Not logged: the set of log lines is fixed by a test. A peer that is not accepted dials again, and reads the
			// store itself meanwhile.
			c.sleep(dialPause)
			continue
		}
		c.startTask(func() { c.servePeer(conn, room) })
	}
}

// servePeer reads the messages of one peer until it falls silent.
func (c *Coordinator) servePeer(conn net.Conn, room *peerstream.Room) {
	stream := peerstream.NewWithin[wire.Message](conn, room)
	defer stream.Close()
	stop := context.AfterFunc(c.context, stream.Close)
	defer stop()
	for {
		silence := member.MinSilence
		c.loop.Call(func(time.Time) { silence = c.memberSilence() })
		received, err := stream.Receive(silence, c.options.TimerNow)
		if errors.Is(err, peerstream.ErrNoRoom) {
			c.options.Log.WithField("from", conn.RemoteAddr().String()).Warn("the link of a peer was closed, since too much is being received from peers")
			break
		}
		if err != nil {
			// Not logged: the link of a peer that leaves ends in the same way. A lost peer is removed by the age of its
			// reports.
			break
		}
		if !c.handleMessage(stream, received) {
			break
		}
	}
	c.loop.Post(func(now time.Time) {
		c.dropLoads(stream)
		c.handlePeerLost(now, stream)
	})
}

// handleMessage handles a message from a peer. It returns false if the link has to be closed because this instance does
// not plan.
func (c *Coordinator) handleMessage(stream *peerstream.Stream[wire.Message], received wire.Message) bool {
	planner := true
	if received.Report != nil {
		c.loop.Call(func(now time.Time) { planner = c.applyPeerReport(now, stream, received.Report) })
	}
	if received.Load != nil {
		c.loop.Call(func(now time.Time) { c.applyLoad(now, stream, received.Load) })
	}
	if received.Sum != nil {
		c.loop.Call(func(now time.Time) {
			if c.planner != nil {
				c.planner.applySum(now, received.Sum)
			}
		})
	}
	if received.Successor != nil {
		c.loop.Call(func(now time.Time) { c.applySuccessor(now, *received.Successor) })
	}
	if received.Request != nil {
		c.loop.Call(func(now time.Time) { c.answerRequest(now, stream, received.Request) })
	}
	return planner
}

// applyPeerReport applies a report if this instance is the planner, and reports whether it is.
func (c *Coordinator) applyPeerReport(now time.Time, stream *peerstream.Stream[wire.Message], r *wire.Report) bool {
	if c.planner == nil {
		return false
	}
	c.planner.members.Join(r.Instance, stream)
	c.planner.keysInFlight.RecordReported(stream, r.ConfigurationRevision)
	c.planner.applyReport(now, r)
	c.plan(now)
	return true
}

// answerRequest answers a peer that cannot read the store. An instance that is not ready itself closes the link instead.
func (c *Coordinator) answerRequest(now time.Time, stream *peerstream.Stream[wire.Message], request *wire.Request) {
	if !c.ready.Load() {
		stream.Close()
		return
	}
	if request.PlannerOnly {
		// As for the answer below, a failed send needs no handling: the peer asks another instance.
		_ = stream.Send(wire.Message{View: c.plannerView(now)})
		return
	}
	if frame := c.seedFrame(now); frame != nil {
		// The link of a peer that does not read is closed, and the peer asks another instance.
		_ = stream.SendFrame(frame)
	}
}

// seedAnswerTTL is how long an answer to a starting peer is reused, so that many peers that start at the same time
// share one copy of the configuration in memory. A longer time gives older answers; data that the peer reads from the
// store later replaces them.
const seedAnswerTTL = 250 * time.Millisecond

// seedFrame returns the encoded answer to a starting peer, or nil if it cannot be encoded.
func (c *Coordinator) seedFrame(now time.Time) peerstream.Frame {
	if c.seedAnswer.frame != nil && now.Sub(c.seedAnswer.at) < seedAnswerTTL {
		return c.seedAnswer.frame
	}
	frame, err := peerstream.Encode(wire.Message{View: c.seedView(now)})
	if err != nil {
		c.options.Log.WithError(err).Error("a view cannot be encoded")
		return nil
	}
	c.seedAnswer = seedAnswer{frame: frame, at: now}
	return frame
}

// plannerView returns a view that names the planner, as far as it is known here.
func (c *Coordinator) plannerView(now time.Time) *wire.View {
	answer := &wire.View{
		Planner: c.follower.Planner, Term: c.knownRecord.Term, ReadAge: now.Sub(c.endpointsReadAt),
		Address: wire.Address{AddrPort: c.knownRecord.Address},
	}
	if c.planner != nil {
		answer.Planner, answer.Term = c.options.Instance, c.planner.lease.Record().Term
		answer.Address = wire.Address{AddrPort: c.options.PeerAddress}
	}
	return answer
}

// seedView returns a view with everything that a starting peer needs: the planner, the operators' keys and the endpoints.
func (c *Coordinator) seedView(now time.Time) *wire.View {
	answer := c.plannerView(now)
	answer.Items, answer.ConfigurationRevision = c.keys.After(0), c.keys.Revision()
	answer.AddEndpoints(maps.Values(c.directory.Endpoints()))
	return answer
}

// seedAnswer is the cached answer to a starting peer. The zero value means that none is cached.
type seedAnswer struct {
	frame peerstream.Frame
	at    time.Time
}

func (c *Coordinator) handlePeerLost(now time.Time, stream *peerstream.Stream[wire.Message]) {
	if c.planner == nil {
		return
	}
	c.planner.keysInFlight.RemoveLink(stream)
	c.planner.members.LinkEnded(now, stream, c.memberSilence())
}
