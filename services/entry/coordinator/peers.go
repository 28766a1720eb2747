// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"context"
	"maps"
	"net"
	"time"

	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// servePeers takes the links of instances that follow this one.
func (c *Coordinator) servePeers(listener net.Listener) {
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
			// Not logged: the kinds of log lines are pinned. A peer that is not taken in dials again, and reads the store
			// itself meanwhile.
			c.sleep(dialPause)
			continue
		}
		c.run(func() { c.servePeer(conn) })
	}
}

// servePeer reads one instance's reports until it falls silent.
func (c *Coordinator) servePeer(conn net.Conn) {
	stream := peerstream.New[wire.Message](conn)
	defer stream.Close()
	stop := context.AfterFunc(c.context, stream.Close)
	defer stop()
	for {
		silence := member.MinSilence
		c.loop.Call(func(time.Time) { silence = c.memberSilence() })
		received, err := stream.Receive(silence, c.options.TimerNow)
		if err != nil {
			// Not logged: a peer that leaves ends its link too. One that is lost is dropped by the age of its reports.
			break
		}
		if !c.handle(stream, received) {
			break
		}
	}
	c.loop.Post(func(now time.Time) {
		c.dropLoads(stream)
		c.peerLost(now, stream)
	})
}

// handle takes in what a peer sent; false ends the link, since this instance does not plan.
func (c *Coordinator) handle(stream *peerstream.Stream[wire.Message], received wire.Message) bool {
	planning := true
	if received.Report != nil {
		c.loop.Call(func(now time.Time) { planning = c.takePeerReport(now, stream, received.Report) })
	}
	if received.Load != nil {
		c.loop.Call(func(now time.Time) { c.takeLoad(now, stream, received.Load) })
	}
	if received.Sum != nil {
		c.loop.Call(func(now time.Time) {
			if c.planning != nil {
				c.planning.takeSum(now, received.Sum)
			}
		})
	}
	if received.Successor != nil {
		c.loop.Call(func(now time.Time) { c.learnSuccessor(now, *received.Successor) })
	}
	if received.Request != nil {
		c.loop.Call(func(now time.Time) { c.answerRequest(now, stream, received.Request) })
	}
	return planning
}

// takePeerReport takes a report in if this instance plans.
func (c *Coordinator) takePeerReport(now time.Time, stream *peerstream.Stream[wire.Message], r *wire.Report) bool {
	if c.planning == nil {
		return false
	}
	c.planning.members.Join(r.Instance, stream)
	c.planning.keysUnderWay.Reported(stream, r.ConfigurationRevision)
	c.planning.takeReport(now, r)
	c.plan(now)
	return true
}

// answerRequest tells a peer that cannot read the store what is known here; an instance that
// is not ready itself tells nothing.
func (c *Coordinator) answerRequest(now time.Time, stream *peerstream.Stream[wire.Message], request *wire.Request) {
	if !c.ready.Load() {
		stream.Close()
		return
	}
	if request.PlannerOnly {
		// As below.
		_ = stream.Send(wire.Message{View: c.plannerView(now)})
		return
	}
	if frame := c.seedFrame(now); frame != nil {
		// A peer that does not read loses the stream and asks another.
		_ = stream.SendFrame(frame)
	}
}

// seedAnswerLife is for how long an answer to a peer that starts is given again, so that many that start at once share one copy of the
// configuration in memory. Longer gives older answers; what is read from the store later replaces them.
const seedAnswerLife = 250 * time.Millisecond

// seedFrame gives the frame of what is known here, or nil where it cannot be encoded.
func (c *Coordinator) seedFrame(now time.Time) peerstream.Frame {
	if c.seedAnswer.frame != nil && now.Sub(c.seedAnswer.at) < seedAnswerLife {
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

// plannerView tells who plans, as far as it is known here.
func (c *Coordinator) plannerView(now time.Time) *wire.View {
	answer := &wire.View{
		Planner: c.following.Planner, Term: c.knownRecord.Term, ReadAge: now.Sub(c.endpointsReadAt),
		Address: wire.Address{AddrPort: c.knownRecord.Address},
	}
	if c.planning != nil {
		answer.Planner, answer.Term = c.options.Instance, c.planning.lease.Record().Term
		answer.Address = wire.Address{AddrPort: c.options.PeerAddress}
	}
	return answer
}

// seedView tells all that is known here.
func (c *Coordinator) seedView(now time.Time) *wire.View {
	answer := c.plannerView(now)
	answer.Items, answer.ConfigurationRevision = c.keys.After(0), c.keys.Revision()
	answer.AddEndpoints(maps.Values(c.directory.Endpoints()))
	return answer
}

// seedAnswer is the last answer to a peer that starts; the zero value is none.
type seedAnswer struct {
	frame peerstream.Frame
	at    time.Time
}

func (c *Coordinator) peerLost(now time.Time, stream *peerstream.Stream[wire.Message]) {
	if c.planning == nil {
		return
	}
	c.planning.keysUnderWay.Ended(stream)
	c.planning.members.LinkEnded(now, stream, c.memberSilence())
}
