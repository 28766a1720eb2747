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

// viewRound is the views of one broadcast to all members. Each shared view is encoded once.
type viewRound struct {
	changes *wire.View
	// changed are the endpoints in the changes.
	changed []*directory.EndpointStatus
	frame   peerstream.Frame
	// cachedFormerFrame is the frame for members of the previous version, which cannot read changes of single copies. It
	// is nil until it is needed.
	cachedFormerFrame peerstream.Frame
	// cachedFullFrame is the frame of a snapshot that describes all endpoints, and cachedShortFrame that of a snapshot for
	// members that have read the endpoints. Each is nil until it is needed.
	cachedFullFrame  peerstream.Frame
	cachedShortFrame peerstream.Frame
	// cachedKnownFrames are the frames of snapshots for members that have the endpoints' descriptions, by the revision
	// up to which they have them.
	cachedKnownFrames map[int64]peerstream.Frame
	// snapshotBytesLeft is how many bytes of snapshots this round may still send.
	snapshotBytesLeft int
	// newestRevision caches the result of newestEndpointRevision; 0 before its first call.
	newestRevision int64
	// cachedKeyFrames are the frames of views that carry operators' keys, by the revision up to which a member has all
	// keys.
	cachedKeyFrames map[int64]peerstream.Frame
	// keysSource is the member that is asked for the operators' keys; empty if none is asked.
	keysSource string
}

// newViewRound returns a round for a view of changes.
func newViewRound(changes *wire.View) *viewRound {
	return &viewRound{changes: changes, cachedKeyFrames: make(map[int64]peerstream.Frame), cachedKnownFrames: make(map[int64]peerstream.Frame)}
}

// snapshotTime is how much time of the planner's link the snapshots of one round may take. It is short so that the
// planner's calls to the store do not wait long behind them: a planner whose lease was not confirmed for 0.8 s gives it
// up, and the next planner has as much to send. A longer time reaches all members sooner.
const snapshotTime = 50 * time.Millisecond

// snapshotByteLimit returns the number of bytes of snapshots after which a round sends no more of them, for a link of
// linkRate bytes per second. It is at least 1, so that each round sends one snapshot.
func snapshotByteLimit(linkRate int) int {
	if linkRate == 0 {
		return math.MaxInt
	}
	return max(1, int(float64(linkRate)*snapshotTime.Seconds()))
}

// sendView sends a member its view of a round. This is mostly a shared frame with the changes or a snapshot. A view of
// its own is sent to a member if the view carries keys, a request for keys or the answer to the member's probe. A member
// whose snapshot has to wait for a later round receives nothing before it.
func (p *planner) sendView(now time.Time, instance string, m *member.Member, round *viewRound) {
	if m.SnapshotDue && round.snapshotBytesLeft <= 0 {
		return
	}
	if m.SnapshotDue && m.Contact != nil && round.keysSource != instance {
		// The member's keys and the answer to its probe follow in the next round, so that all members that join share this
		// frame.
		p.sendFrame(m, p.commonFrame(now, m, round), round)
		return
	}
	items := p.keysToSend(now, m)
	switch {
	case p.getsForwardedViews(now, m) && !m.SnapshotDue:
		p.sendBareView(now, instance, m, round, items)
	case round.keysSource == instance || m.Probe > 0, len(items) > 0 && (m.SnapshotDue || m.Contact == nil):
		p.sendOwnView(now, instance, m, round, items)
	case len(items) > 0:
		p.sendFrame(m, p.keysFrame(now, m, round, items), round)
		p.coordinator.observeRelay(items)
	default:
		p.sendFrame(m, p.commonFrame(now, m, round), round)
	}
}

// sendFrame sends a member a shared frame. It ignores a nil frame, which could not be encoded.
func (p *planner) sendFrame(m *member.Member, frame peerstream.Frame, round *viewRound) {
	if frame == nil {
		return
	}
	if m.SnapshotDue {
		round.snapshotBytesLeft -= len(frame)
	}
	m.SnapshotDue = false
	p.handleSendResult(m, m.Link.SendFrame(frame))
}

// keysFrame returns the frame of the changes together with keys. All members that lack the same keys share it. It is nil
// if it cannot be encoded.
func (p *planner) keysFrame(now time.Time, m *member.Member, round *viewRound, items []store.Item) peerstream.Frame {
	if frame, ok := round.cachedKeyFrames[m.ConfigurationRevision]; ok {
		return frame
	}
	withKeys := *round.changes
	withKeys.Items, withKeys.KeysAge = items, p.keysAge(now, m)
	frame := p.encode(&withKeys)
	round.cachedKeyFrames[m.ConfigurationRevision] = frame
	return frame
}

// getsForwardedViews reports whether a gatherer forwards the views to a member: the member and the gatherer both report it, and
// the gatherer is not silent.
func (p *planner) getsForwardedViews(now time.Time, m *member.Member) bool {
	if m.Forwarder == "" || !p.gatherers.sums.HasValid(now, m.Forwarder) {
		return false
	}
	gatherer, ok := p.members.All()[m.Forwarder]
	return ok && gatherer.Link != nil && gatherer.Forwarder == ""
}

// commonFrame returns the shared frame for a member of its version: the changes or a snapshot.
func (p *planner) commonFrame(now time.Time, m *member.Member, round *viewRound) peerstream.Frame {
	switch {
	case m.SnapshotDue && p.readSameDescriptions(m, round):
		return p.shortFrame(now, round)
	case m.SnapshotDue && m.DescribedUpTo > 0:
		return p.knownFrame(now, m.DescribedUpTo, round)
	case m.SnapshotDue:
		return p.fullFrame(now, round)
	case m.Contact != nil:
		return round.frame
	}
	if round.cachedFormerFrame == nil {
		round.cachedFormerFrame = p.encode(formerView(round))
	}
	return round.cachedFormerFrame
}

// formerView returns the changes in the form for members of the previous version: endpoints with all of their copies.
func formerView(round *viewRound) *wire.View {
	former := *round.changes
	former.CopyChanges, former.Endpoints, former.Starts, former.Software = nil, nil, nil, nil
	former.AddEndpoints(slices.Values(round.changed))
	return &former
}

// bareViewInterval is the minimum interval between two bare views that only keep the link to a member alive. It is below
// the interval of heartbeats, so that in a fleet without changes each heartbeat sends one.
const bareViewInterval = 3 * view.HeartbeatInterval / 4

// sendBareView sends a member with forwarded views what only the planner can send: keys, a request for keys and the
// answer to a probe. Without any of these it sends a keep-alive at the interval of heartbeats.
func (p *planner) sendBareView(now time.Time, instance string, m *member.Member, round *viewRound, items []store.Item) {
	if len(items) == 0 && m.Probe == 0 && round.keysSource != instance && now.Sub(m.BareSentAt) < bareViewInterval {
		return
	}
	bare := &wire.View{
		Planner: round.changes.Planner, Term: round.changes.Term, TermAge: round.changes.TermAge, Members: round.changes.Members,
		ConfigurationRevision: round.changes.ConfigurationRevision, RequestsKeys: true, Bare: true, Items: items, Probe: m.Probe,
	}
	if len(items) > 0 {
		bare.KeysAge = p.keysAge(now, m)
	}
	if round.keysSource == instance {
		bare.KeysRequestedFrom = instance
	}
	m.Probe, m.BareSentAt = 0, now
	p.coordinator.observeRelay(items)
	p.handleSendResult(m, m.Link.Send(wire.Message{View: bare}))
}

// fullFrame returns the frame of a snapshot that describes all endpoints, or nil if it cannot be encoded.
func (p *planner) fullFrame(now time.Time, round *viewRound) peerstream.Frame {
	if round.cachedFullFrame != nil {
		return round.cachedFullFrame
	}
	round.cachedFullFrame = p.encode(p.fullSnapshot(now))
	return round.cachedFullFrame
}

// readSameDescriptions reports whether a member has read the same description of each endpoint from the store as this
// planner. The planner's descriptions are those of the store if it has read the endpoints in this term, or if it had
// copies from the store only before the term. Descriptions from a view would list what was on offer at that time.
func (p *planner) readSameDescriptions(m *member.Member, round *viewRound) bool {
	return (p.endpointsFromStoreOnly || p.endpointsRevision > 0) && m.EndpointsRead >= round.newestEndpointRevision(p.coordinator.directory)
}

// newestEndpointRevision returns the store revision of the latest description of an endpoint, at least 1.
func (r *viewRound) newestEndpointRevision(endpoints *directory.Directory) int64 {
	if r.newestRevision == 0 {
		r.newestRevision = 1
		for _, status := range endpoints.Endpoints() {
			r.newestRevision = max(r.newestRevision, status.Revision)
		}
	}
	return r.newestRevision
}

// shortFrame returns the frame of a snapshot for members that have read the endpoints.
func (p *planner) shortFrame(now time.Time, round *viewRound) peerstream.Frame {
	if round.cachedShortFrame == nil {
		round.cachedShortFrame = p.encode(p.shortSnapshot(now))
	}
	return round.cachedShortFrame
}

// shortSnapshot returns a snapshot for members that have read the endpoints from the store. It describes only the endpoints
// whose state at the planner differs from the description in the store, and lists only the IDs of the others. All
// instances need such a view at once when they start at the same time.
func (p *planner) shortSnapshot(now time.Time) *wire.View {
	v := p.snapshotWithoutEndpoints(now)
	for id, status := range p.coordinator.directory.Endpoints() {
		described := maps.Equal(status.Offered, status.Adapters) && slices.Equal(status.OfferedModels, status.Models)
		if described && status.State == deployment.Ready {
			v.UnchangedEndpoints = append(v.UnchangedEndpoints, id)
			continue
		}
		v.AddEndpoints(slices.Values([]*directory.EndpointStatus{status}))
	}
	return v
}

// knownFrame returns the frame of a snapshot for members that have the endpoints' descriptions up to a store revision.
func (p *planner) knownFrame(now time.Time, describedUpTo int64, round *viewRound) peerstream.Frame {
	describedUpTo = min(describedUpTo, round.newestEndpointRevision(p.coordinator.directory))
	frame, ok := round.cachedKnownFrames[describedUpTo]
	if !ok {
		frame = p.encode(p.knownSnapshot(now, describedUpTo))
		round.cachedKnownFrames[describedUpTo] = frame
	}
	return frame
}

// knownSnapshot returns a snapshot for members that have the endpoints' descriptions up to a store revision. For an endpoint
// without a later description it lists only the software, the base models and the copies on offer, a tenth of the full size. A member
// may have the descriptions from a planner of a version that does not tell the software.
func (p *planner) knownSnapshot(now time.Time, describedUpTo int64) *wire.View {
	v := p.snapshotWithoutEndpoints(now)
	groups := make(map[describedGroup]*wire.KnownEndpoints)
	for id, status := range p.coordinator.directory.Endpoints() {
		if status.Revision > describedUpTo || status.State != deployment.Ready {
			v.AddEndpoints(slices.Values([]*directory.EndpointStatus{status}))
			continue
		}
		key := describedGroup{models: strings.Join(status.OfferedModels, " "), software: status.Software}
		if groups[key] == nil {
			groups[key] = &wire.KnownEndpoints{Models: status.OfferedModels}
		}
		groups[key].IDs = append(groups[key].IDs, id)
		v.CopyChanges = append(v.CopyChanges, sentEndpoint{}.copyChanges(status)...)
	}
	for key, known := range groups {
		v.DescribedEndpoints = append(v.DescribedEndpoints, *known)
		v.DescribedSoftware = append(v.DescribedSoftware, key.software)
	}
	return v
}

// describedGroup is what endpoints have in common that a snapshot without their descriptions lists together.
type describedGroup struct {
	models   string
	software string
}

// snapshotFor returns the shortest snapshot that is sufficient for a member.
func (p *planner) snapshotFor(now time.Time, m *member.Member, round *viewRound) *wire.View {
	switch {
	case p.readSameDescriptions(m, round):
		return p.shortSnapshot(now)
	case m.DescribedUpTo > 0:
		return p.knownSnapshot(now, m.DescribedUpTo)
	default:
		return p.fullSnapshot(now)
	}
}

// sendOwnView sends a member a view that is encoded for this member alone: the changes or a snapshot, with keys, a
// request for keys or the answer to a probe.
func (p *planner) sendOwnView(now time.Time, instance string, m *member.Member, round *viewRound, items []store.Item) {
	memberView := *round.changes
	switch {
	case m.SnapshotDue:
		memberView = *p.snapshotFor(now, m, round)
		m.SnapshotDue = false
	case m.Contact == nil:
		memberView = *formerView(round)
	}
	memberView.Items, memberView.Probe = items, m.Probe
	if len(items) > 0 {
		memberView.KeysAge = p.keysAge(now, m)
	}
	m.Probe = 0
	if round.keysSource == instance {
		memberView.KeysRequestedFrom = instance
	}
	p.coordinator.observeRelay(items)
	p.handleSendResult(m, m.Link.Send(wire.Message{View: &memberView}))
}

// handleSendResult handles the result of sending a view. After a failure the member dials again and receives a snapshot.
func (p *planner) handleSendResult(m *member.Member, err error) {
	if err == nil {
		return
	}
	if errors.Is(err, peerstream.ErrCongested) {
		p.coordinator.recordLinkClosed(m.Link.QueuedBytes(), err)
	}
	p.keysInFlight.RemoveLink(m.Link)
	m.Link = nil
}
