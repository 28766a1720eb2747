// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"errors"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/view"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// viewRound is what all members are sent at one time, encoded once.
type viewRound struct {
	changes *wire.View
	// changed are the endpoints that the changes tell of.
	changed []*directory.EndpointStatus
	frame   peerstream.Frame
	// former is the frame for members of the version before, which read no copies by themselves; nil until one needs it.
	former peerstream.Frame
	// whole is the frame of a whole view, short that of one for members that have read the endpoints; nil until one needs it.
	whole peerstream.Frame
	short peerstream.Frame
	// known are the frames of whole views for members that know endpoints, by the revision up to which they know the descriptions.
	known map[int64]peerstream.Frame
	// wholeBytes is after how many bytes no more whole views are sent.
	wholeBytes int
	// newestEndpoint is what newest found; 0 before.
	newestEndpoint int64
	// keys are the frames of views that pass keys on, by the revision up to which a member has all.
	keys map[int64]peerstream.Frame
	// asked is the member that is asked for the operators' keys; empty if none is.
	asked string
}

// newViewRound makes a round of changes.
func newViewRound(changes *wire.View) *viewRound {
	return &viewRound{changes: changes, keys: make(map[int64]peerstream.Frame), known: make(map[int64]peerstream.Frame)}
}

// wholeSpan is how much time of the planner's link the whole views of one round may take, so that its own calls to the store never wait for
// long behind them: a planner whose lease was not confirmed for 0.8 s gives it up, and the next one has as much to tell. Longer tells all
// members sooner.
const wholeSpan = 50 * time.Millisecond

// wholeShare is after how many bytes of whole views a round sends no more of them, over a link that carries so many bytes a second. It is
// at least 1, so that each round sends one.
func wholeShare(linkRate int) int {
	if linkRate == 0 {
		return math.MaxInt
	}
	return max(1, int(float64(linkRate)*wholeSpan.Seconds()))
}

// sendView sends a member what it needs of a round: the changes or a whole view, whose frames serve all, or a view of its own that passes
// keys on to it, asks it for keys or answers its probe. One that has to wait for a whole view gets nothing before it.
func (p *planning) sendView(now time.Time, instance string, m *member.Member, round *viewRound) {
	if m.NeedsFull && round.wholeBytes <= 0 {
		return
	}
	if m.NeedsFull && m.Contact != nil && round.asked != instance {
		// Its keys and the answer to its probe follow in the next round, so that this frame serves all that join.
		p.sendFrame(m, p.commonFrame(now, m, round), round)
		return
	}
	items := p.itemsFor(now, m)
	switch {
	case p.isFed(now, m) && !m.NeedsFull:
		p.sendBareView(now, instance, m, round, items)
	case round.asked == instance || m.Probe > 0, len(items) > 0 && (m.NeedsFull || m.Contact == nil):
		p.sendOwnView(now, instance, m, round, items)
	case len(items) > 0:
		p.sendFrame(m, p.keysFrame(now, m, round, items), round)
		p.coordinator.observeRelay(items)
	default:
		p.sendFrame(m, p.commonFrame(now, m, round), round)
	}
}

// sendFrame sends a member a frame that serves others as well; nil, which could not be encoded, is left out.
func (p *planning) sendFrame(m *member.Member, frame peerstream.Frame, round *viewRound) {
	if frame == nil {
		return
	}
	if m.NeedsFull {
		round.wholeBytes -= len(frame)
	}
	m.NeedsFull = false
	p.noteSent(m, m.Link.SendFrame(frame))
}

// keysFrame gives the frame of the changes with keys that all members get who lack the same ones; nil where it cannot be encoded.
func (p *planning) keysFrame(now time.Time, m *member.Member, round *viewRound, items []store.Item) peerstream.Frame {
	if frame, ok := round.keys[m.ConfigurationRevision]; ok {
		return frame
	}
	own := *round.changes
	own.Items, own.KeysAge = items, p.keysAge(now, m)
	frame := p.encode(&own)
	round.keys[m.ConfigurationRevision] = frame
	return frame
}

// isFed tells whether a gatherer passes the views on to a member: both say so, and the gatherer is heard.
func (p *planning) isFed(now time.Time, m *member.Member) bool {
	if m.FedBy == "" || !p.gatherers.sums.Gathers(now, m.FedBy) {
		return false
	}
	gatherer, ok := p.members.All()[m.FedBy]
	return ok && gatherer.Link != nil && gatherer.FedBy == ""
}

// commonFrame gives the frame that a member gets like all others of its version: the changes, or a whole view.
func (p *planning) commonFrame(now time.Time, m *member.Member, round *viewRound) peerstream.Frame {
	switch {
	case m.NeedsFull && p.describesAsRead(m, round):
		return p.shortFrame(now, round)
	case m.NeedsFull && m.DescribedUpTo > 0:
		return p.knownFrame(now, m.DescribedUpTo, round)
	case m.NeedsFull:
		return p.wholeFrame(now, round)
	case m.Contact != nil:
		return round.frame
	}
	if round.former == nil {
		round.former = p.encode(formerView(round))
	}
	return round.former
}

// formerView gives the changes as a member of the version before reads them: endpoints with all of their copies.
func formerView(round *viewRound) *wire.View {
	former := *round.changes
	former.Copies, former.Endpoints, former.Starts = nil, nil, nil
	former.AddEndpoints(slices.Values(round.changed))
	return &former
}

// signPause is the least pause between two signs of life to a member that a gatherer feeds: below the pace of heartbeats, so that each of
// these carries one in a calm fleet.
const signPause = 3 * view.HeartbeatPace / 4

// sendBareView sends a member that a gatherer feeds what only the planner can: keys, a request for keys, the answer to a probe, and at
// least a sign of life at the pace of heartbeats.
func (p *planning) sendBareView(now time.Time, instance string, m *member.Member, round *viewRound, items []store.Item) {
	if len(items) == 0 && m.Probe == 0 && round.asked != instance && now.Sub(m.BareSentAt) < signPause {
		return
	}
	bare := &wire.View{
		Planner: round.changes.Planner, Term: round.changes.Term, Made: round.changes.Made, Members: round.changes.Members,
		ConfigurationRevision: round.changes.ConfigurationRevision, AsksForKeys: true, Bare: true, Items: items, Probe: m.Probe,
	}
	if len(items) > 0 {
		bare.KeysAge = p.keysAge(now, m)
	}
	if round.asked == instance {
		bare.KeysFrom = instance
	}
	m.Probe, m.BareSentAt = 0, now
	p.coordinator.observeRelay(items)
	p.noteSent(m, m.Link.Send(wire.Message{View: bare}))
}

// wholeFrame gives the frame of a whole view, or nil where it cannot be encoded.
func (p *planning) wholeFrame(now time.Time, round *viewRound) peerstream.Frame {
	if round.whole != nil {
		return round.whole
	}
	round.whole = p.encode(p.fullView(now))
	return round.whole
}

// describesAsRead tells whether a member has read each endpoint as this planner has: the descriptions here are the store's own once the
// endpoints were read in this term, or where nobody had told of copies before it; those of a view list what was on offer then.
func (p *planning) describesAsRead(m *member.Member, round *viewRound) bool {
	return (p.readBefore || p.endpointsRevision > 0) && m.EndpointsRead >= round.newest(p.coordinator.directory)
}

// newest is the store's revision of the latest description of an endpoint, at least 1.
func (r *viewRound) newest(known *directory.Directory) int64 {
	if r.newestEndpoint == 0 {
		r.newestEndpoint = 1
		for _, status := range known.Endpoints() {
			r.newestEndpoint = max(r.newestEndpoint, status.Revision)
		}
	}
	return r.newestEndpoint
}

// shortFrame gives the frame of a whole view for members that have read the endpoints.
func (p *planning) shortFrame(now time.Time, round *viewRound) peerstream.Frame {
	if round.short == nil {
		round.short = p.encode(p.shortView(now))
	}
	return round.short
}

// shortView is a whole view for members that have read the endpoints from the store: it describes those only of which the planner knows
// better, and names the others alone: all instances need one when they start at once.
func (p *planning) shortView(now time.Time) *wire.View {
	v := p.viewWithoutEndpoints(now)
	for id, status := range p.coordinator.directory.Endpoints() {
		described := maps.Equal(status.Offered, status.Adapters) && slices.Equal(status.OfferedModels, status.Models)
		if described && status.State == deployment.Ready {
			v.Unchanged = append(v.Unchanged, id)
			continue
		}
		v.AddEndpoints(slices.Values([]*directory.EndpointStatus{status}))
	}
	return v
}

// knownFrame gives the frame of a whole view for members that know the endpoints' descriptions up to a revision of the store.
func (p *planning) knownFrame(now time.Time, describedUpTo int64, round *viewRound) peerstream.Frame {
	describedUpTo = min(describedUpTo, round.newest(p.coordinator.directory))
	frame, ok := round.known[describedUpTo]
	if !ok {
		frame = p.encode(p.knownView(now, describedUpTo))
		round.known[describedUpTo] = frame
	}
	return frame
}

// knownView is a whole view for members that know the endpoints' descriptions up to a revision of the store: of an endpoint without a
// later one it tells the base models and the copies on offer, a tenth of what it would tell else.
func (p *planning) knownView(now time.Time, describedUpTo int64) *wire.View {
	v := p.viewWithoutEndpoints(now)
	byModels := make(map[string]*wire.KnownEndpoints)
	for id, status := range p.coordinator.directory.Endpoints() {
		if status.Revision > describedUpTo || status.State != deployment.Ready {
			v.AddEndpoints(slices.Values([]*directory.EndpointStatus{status}))
			continue
		}
		key := strings.Join(status.OfferedModels, " ")
		if byModels[key] == nil {
			byModels[key] = &wire.KnownEndpoints{Models: status.OfferedModels}
		}
		byModels[key].IDs = append(byModels[key].IDs, id)
		v.Copies = append(v.Copies, toldEndpoint{}.copies(status)...)
	}
	for _, known := range byModels {
		v.Known = append(v.Known, *known)
	}
	return v
}

// wholeView is the shortest whole view that a member understands.
func (p *planning) wholeView(now time.Time, m *member.Member, round *viewRound) *wire.View {
	switch {
	case p.describesAsRead(m, round):
		return p.shortView(now)
	case m.DescribedUpTo > 0:
		return p.knownView(now, m.DescribedUpTo)
	default:
		return p.fullView(now)
	}
}

// sendOwnView sends a member a view that is encoded for it alone: the changes, or a whole view, with keys, a request for keys or the
// answer to a probe.
func (p *planning) sendOwnView(now time.Time, instance string, m *member.Member, round *viewRound, items []store.Item) {
	own := *round.changes
	switch {
	case m.NeedsFull:
		own = *p.wholeView(now, m, round)
		m.NeedsFull = false
	case m.Contact == nil:
		own = *formerView(round)
	}
	own.Items, own.Probe = items, m.Probe
	if len(items) > 0 {
		own.KeysAge = p.keysAge(now, m)
	}
	m.Probe = 0
	if round.asked == instance {
		own.KeysFrom = instance
	}
	p.coordinator.observeRelay(items)
	p.noteSent(m, m.Link.Send(wire.Message{View: &own}))
}

// noteSent takes in how the sending of a view ended. After a failure the member dials again and gets a whole view.
func (p *planning) noteSent(m *member.Member, err error) {
	if err == nil {
		return
	}
	if errors.Is(err, peerstream.ErrCongested) {
		p.coordinator.noteLinkClosed(m.Link.QueuedBytes(), err)
	}
	p.keysUnderWay.Ended(m.Link)
	m.Link = nil
}
