// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
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
	go func() {
		<-c.context.Done()
		stream.Close()
	}()
	for {
		silence := member.LeastSilence
		c.loop.Call(func(time.Time) { silence = c.memberSilence() })
		received, err := stream.Receive(silence, c.options.Now)
		if err != nil {
			// Not logged: a peer that leaves ends its link too. One that is lost is dropped by the age of its reports.
			break
		}
		if !c.handle(stream, received) {
			break
		}
	}
	c.loop.Post(func(now time.Time) { c.peerLost(now, stream) })
}

// handle takes in what a peer sent; false ends the link, since this instance does not plan.
func (c *Coordinator) handle(stream *peerstream.Stream[wire.Message], received wire.Message) bool {
	planning := true
	if received.Report != nil {
		c.loop.Call(func(now time.Time) { planning = c.takePeerReport(now, stream, received.Report) })
	}
	if received.Successor != nil {
		c.loop.Call(func(time.Time) { c.learnSuccessor(*received.Successor) })
	}
	if received.Request != nil {
		c.loop.Call(func(now time.Time) { c.answerRequest(now, stream) })
	}
	return planning
}

// takePeerReport takes a report in if this instance plans.
func (c *Coordinator) takePeerReport(now time.Time, stream *peerstream.Stream[wire.Message], r *wire.Report) bool {
	if c.planning == nil {
		return false
	}
	c.planning.members.Join(r.Instance, stream)
	c.planning.takeReport(now, r)
	c.plan(now)
	return true
}

// answerRequest tells a peer that cannot read the store what is known here; an instance that
// is not ready itself tells nothing.
func (c *Coordinator) answerRequest(now time.Time, stream *peerstream.Stream[wire.Message]) {
	if !c.ready.Load() {
		stream.Close()
		return
	}
	answer := &wire.View{
		Planner: c.following.Planner, Term: c.knownRecord.Term, Items: c.keys.After(0), ConfigurationRevision: c.keys.Revision(),
		ReadAge: now.Sub(c.endpointsReadAt), Address: c.knownRecord.Address,
	}
	if c.planning != nil {
		answer.Planner, answer.Term, answer.Address = c.options.Instance, c.planning.lease.Record().Term, c.options.PeerAddress
	}
	for _, status := range c.directory.Endpoints() {
		answer.Endpoints = append(answer.Endpoints, wire.FromStatus(status))
	}
	// A peer that does not read loses the stream and asks another.
	_ = stream.Send(wire.Message{View: answer})
}

func (c *Coordinator) peerLost(now time.Time, stream *peerstream.Stream[wire.Message]) {
	if c.planning == nil {
		return
	}
	c.planning.members.Unlink(now, stream, c.memberSilence())
}
