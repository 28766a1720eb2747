// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/report"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/lease"
)

const (
	// LeastSilence is after how long without a report an instance of a small fleet counts as lost: shorter trades false losses for an
	// earlier release of what a lost instance used.
	LeastSilence = 1500 * time.Millisecond
	// silentReports is how many pauses between reports, a count, an instance of a large fleet may stay silent.
	silentReports = 3
	// acknowledgeTime is how long members of a small fleet have to acknowledge a withdrawal: longer keeps a place from the next load,
	// shorter lets requests that are on their way find their adapter unloaded. A report and a view on their way take some 150 ms at 195
	// instances.
	acknowledgeTime = 250 * time.Millisecond
	// ForgetAfter is how long a lost instance still counts in the fleet's shares.
	ForgetAfter = 20 * time.Second
	// RelayAfter is how long a peer may lack newer keys of the configuration before they are sent to it: shorter trades messages that its
	// own watch makes needless for an earlier change.
	RelayAfter = 120 * time.Millisecond
)

// SilenceLimit is after how long without a report an instance counts as lost in a fleet of members.
func SilenceLimit(members int) time.Duration {
	return max(LeastSilence, silentReports*report.Stretch(report.Pace, members))
}

// AcknowledgeLimit is how long members of a fleet have to acknowledge a withdrawal.
func AcknowledgeLimit(members int) time.Duration {
	return acknowledgeTime + report.Stretch(report.AcknowledgePace, members)
}

// Link is the connection over which a member reports and gets views.
type Link = peerstream.Stream[wire.Message]

// Member is one instance that reports.
type Member struct {
	// Link is nil while the instance is not connected.
	Link *Link
	// NeedsFull tells that the next view to it has to be a whole one.
	NeedsFull bool
	// ConfigurationRevision is the newest revision of the configuration's keys that it knows, by its last report.
	ConfigurationRevision int64
	// Lag is how long it has lacked newer ones.
	Lag Lag
	// Probe is the number of the report to which the next view to it answers; 0 if it asked for none.
	Probe uint64
	// Contact is how its peers reach it; nil for one of an earlier version.
	Contact *wire.Contact
	// EndpointsRead is the store's revision as of which it has read all endpoints and heard no planner since; 0 otherwise.
	EndpointsRead int64
	// DescribedUpTo is the store's revision up to which it knows each endpoint's description, by the report that asked for a whole view.
	DescribedUpTo int64
	// FedBy is the gatherer that passes views on to it; empty if none does.
	FedBy string
	// BareSentAt is when the last bare view was sent to it.
	BareSentAt time.Time

	reportedAt time.Time
	// heardAt is when a gatherer last told that it hears the member; zero if none has since its link began.
	heardAt time.Time
	// lost is since when it counts as lost; zero if it does not.
	lost            time.Time
	leaving         bool
	withdrawalsSeen uint64
	// storeReadAge is how long before its last report it read the store.
	storeReadAge time.Duration
	inUse        map[wire.Copy]int
	inFlight     map[deployment.EndpointID]InFlight
	suspects     map[deployment.EndpointID]bool
	unreached    []deployment.EndpointID
}

// InFlight is what an endpoint has to do.
type InFlight struct {
	// Requests counts the requests in flight there.
	Requests int
	// Unread is how many tokens of their prompts it has not read yet.
	Unread int
}

// Plus adds what else the endpoint has to do.
func (f InFlight) Plus(other InFlight) InFlight {
	return InFlight{Requests: f.Requests + other.Requests, Unread: f.Unread + other.Unread}
}

// Lag measures for how long a peer has lacked newer keys of the configuration.
type Lag struct {
	since time.Time
}

// Observe takes in the newest revision that the peer knows and the newest one known here. It gives for how long the
// peer has been behind, and false if it is not.
func (l *Lag) Observe(now time.Time, theirs, ours int64) (time.Duration, bool) {
	if theirs >= ours {
		l.since = time.Time{}
		return 0, false
	}
	if l.since.IsZero() {
		l.since = now
	}
	return now.Sub(l.since), true
}

// isSilent tells whether the member is to be taken for lost: no gatherer that told of it does so any more, or its own reports have
// stayed away for longer than their pace in the fleet allows. In a large fleet its own reports alone tell that late, and
// until then an instance that is cut off or stands still holds up each unload.
func (m *Member) isSilent(now time.Time, silence time.Duration) bool {
	heard := m.heardAt
	if m.reportedAt.After(heard) {
		heard = m.reportedAt
	}
	unheard := !m.heardAt.IsZero() && now.Sub(heard) > LeastSilence
	return unheard || now.Sub(m.reportedAt) > silence
}

func (m *Member) isLost() bool {
	return !m.lost.IsZero()
}

// take takes in a report.
func (m *Member) take(now time.Time, r *wire.Report) {
	m.reportedAt = now
	m.lost = time.Time{}
	m.withdrawalsSeen = r.WithdrawalsSeen
	m.ConfigurationRevision = r.ConfigurationRevision
	m.leaving = r.Leaving
	m.Probe = max(m.Probe, r.Probe)
	m.storeReadAge = r.StoreReadAge
	if r.Contact != nil {
		m.Contact = r.Contact
	}
	m.FedBy = r.FedBy
	m.EndpointsRead = r.EndpointsRead
	m.DescribedUpTo = max(m.DescribedUpTo, r.DescribedUpTo)
	if r.NeedsWhole {
		m.DescribedUpTo = r.DescribedUpTo
	}
	m.NeedsFull = m.NeedsFull || r.NeedsWhole
	m.unreached = r.Unreached
	m.inUse = make(map[wire.Copy]int, len(r.InUse))
	for _, used := range r.InUse {
		m.inUse[used.Copy()] = used.Count
	}
	m.inFlight = make(map[deployment.EndpointID]InFlight, len(r.InFlight))
	for _, reported := range r.InFlight {
		m.inFlight[reported.ID] = InFlight{Requests: reported.Count, Unread: reported.Unread}
	}
}

// suspect takes in which endpoints the member finds bad and gives those of which it changed its verdict.
func (m *Member) suspect(ids []deployment.EndpointID) []deployment.EndpointID {
	var changed []deployment.EndpointID
	former := m.suspects
	m.suspects = make(map[deployment.EndpointID]bool, len(ids))
	for _, id := range ids {
		m.suspects[id] = true
	}
	for id := range former {
		if !m.suspects[id] {
			changed = append(changed, id)
		}
	}
	for id := range m.suspects {
		if !former[id] {
			changed = append(changed, id)
		}
	}
	return changed
}

// reachesStore tells whether the store lately answered the member.
func (m *Member) reachesStore(now time.Time) bool {
	known := lease.Member{Lost: m.isLost(), ReportAge: now.Sub(m.reportedAt), StoreReadAge: m.storeReadAge}
	return known.ReachesStore()
}
