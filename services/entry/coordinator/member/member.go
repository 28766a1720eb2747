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
	// MinSilence is the time without a report after which an instance of a small fleet counts as lost. A shorter time releases
	// the copies of a lost instance earlier, but more instances are falsely taken for lost.
	MinSilence = 1500 * time.Millisecond
	// maxMissedReports is the number of report intervals for which an instance of a large fleet may be silent before it counts as
	// lost.
	maxMissedReports = 3
	// acknowledgeTimeout is the time that members of a small fleet have to acknowledge a withdrawal. A longer time delays the next
	// load into the place; with a shorter one, requests under way find their adapter unloaded. A report and a view together take
	// about 150 ms to arrive in a fleet of 195 instances.
	acknowledgeTimeout = 250 * time.Millisecond
	// LostRetention is how long a lost instance is still counted in the shares of the fleet.
	LostRetention = 20 * time.Second
	// RelayDelay is how long a peer may lack newer keys of the configuration before they are sent to it. A shorter time brings
	// changes into force earlier, but sends keys that the peer would have received by its own watch.
	RelayDelay = 120 * time.Millisecond
)

// SilenceLimit returns the time without a report after which an instance counts as lost in a fleet of the given number of members.
func SilenceLimit(members int) time.Duration {
	return max(MinSilence, maxMissedReports*report.Stretch(report.Interval, members))
}

// AcknowledgeLimit returns the time that members of a fleet of the given size have to acknowledge a withdrawal.
func AcknowledgeLimit(members int) time.Duration {
	return acknowledgeTimeout + report.Stretch(report.AcknowledgeInterval, members)
}

// Link is the connection over which a member sends reports and receives views.
type Link = peerstream.Stream[wire.Message]

// Member is an instance that reports to the planner.
type Member struct {
	// Link is nil while the instance is not connected.
	Link *Link
	// SnapshotDue means that the next view to the member must be a snapshot.
	SnapshotDue bool
	// ConfigurationRevision is the newest revision of the configuration's keys that the member has, according to its last report.
	ConfigurationRevision int64
	// Lag measures for how long the member has lacked newer keys.
	Lag Lag
	// Probe is the number of the probe that the next view to the member answers; 0 if there is none.
	Probe uint64
	// Contact is how peers reach the member; nil for a member of an earlier version.
	Contact *wire.Contact
	// EndpointsRead is the store revision as of which the member has read all endpoints without having received a view of a planner
	// since; 0 otherwise.
	EndpointsRead int64
	// DescribedUpTo is the store revision up to which the member knows the description of each endpoint, according to the report
	// that asked for a snapshot.
	DescribedUpTo int64
	// Forwarder is the gatherer that forwards views to the member; empty if none does.
	Forwarder string
	// BareSentAt is when the last bare view was sent to the member.
	BareSentAt time.Time

	reportedAt time.Time
	// loadReportedAt is when a gatherer last reported that it receives loads from the member; zero if none has since the link was opened.
	loadReportedAt time.Time
	// lost is when the member was declared lost; zero if it is not lost.
	lost            time.Time
	leaving         bool
	withdrawalsSeen uint64
	// storeReadAge is the time between the member's last read from the store and its last report.
	storeReadAge time.Duration
	inUse        map[wire.Copy]int
	inFlight     map[deployment.EndpointID]InFlight
	suspects     map[deployment.EndpointID]bool
	unreachable  []deployment.EndpointID
	// cutOff reports that the member reaches no endpoint over its own links.
	cutOff bool
}

// InFlight is the work that an endpoint has.
type InFlight struct {
	// Requests is the number of requests in flight on the endpoint.
	Requests int
	// Unread is the number of their prompt tokens that the endpoint has not processed yet.
	Unread int
}

// Combine returns the sum of two amounts of work.
func (f InFlight) Combine(other InFlight) InFlight {
	return InFlight{Requests: f.Requests + other.Requests, Unread: f.Unread + other.Unread}
}

// Lag measures for how long a peer has lacked newer keys of the configuration.
type Lag struct {
	since time.Time
}

// Observe records the newest revision that the peer has and the newest one known here. It returns for how long the peer has been
// behind, and false if it is not behind.
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

// isSilent reports whether the member must be declared lost: either a gatherer has received loads from it, but neither a load nor a
// report has arrived for MinSilence, or its own reports have been missing for longer than silence. In a large fleet reports are
// so rare that they alone reveal a loss late, and until then an instance that is cut off or suspended delays each unload.
func (m *Member) isSilent(now time.Time, silence time.Duration) bool {
	lastMessageAt := m.loadReportedAt
	if m.reportedAt.After(lastMessageAt) {
		lastMessageAt = m.reportedAt
	}
	lostByGatherer := !m.loadReportedAt.IsZero() && now.Sub(lastMessageAt) > MinSilence
	return lostByGatherer || now.Sub(m.reportedAt) > silence
}

func (m *Member) isLost() bool {
	return !m.lost.IsZero()
}

// applyReport replaces the reported state of the member.
func (m *Member) applyReport(now time.Time, r *wire.Report) {
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
	m.Forwarder = r.Forwarder
	m.EndpointsRead = r.EndpointsRead
	m.DescribedUpTo = max(m.DescribedUpTo, r.DescribedUpTo)
	if r.NeedsSnapshot {
		m.DescribedUpTo = r.DescribedUpTo
	}
	m.SnapshotDue = m.SnapshotDue || r.NeedsSnapshot
	m.unreachable, m.cutOff = r.Unreachable, r.CutOff
	m.inUse = make(map[wire.Copy]int, len(r.InUse))
	for _, used := range r.InUse {
		m.inUse[used.Copy()] = used.Count
	}
	m.inFlight = make(map[deployment.EndpointID]InFlight, len(r.InFlight))
	for _, reported := range r.InFlight {
		m.inFlight[reported.ID] = InFlight{Requests: reported.Count, Unread: reported.Unread}
	}
}

// setSuspects replaces the endpoints that the member suspects and returns those that were added or removed.
func (m *Member) setSuspects(ids []deployment.EndpointID) []deployment.EndpointID {
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

// opensTunnels reports whether other instances can reach endpoints through the member.
func (m *Member) opensTunnels() bool {
	return m.Link != nil && !m.isLost() && !m.leaving && !m.cutOff && m.Contact != nil && m.Contact.Tunnel.IsValid()
}

// reachesStore reports whether the store has recently answered the member.
func (m *Member) reachesStore(now time.Time) bool {
	state := lease.Member{Lost: m.isLost(), ReportAge: now.Sub(m.reportedAt), StoreReadAge: m.storeReadAge}
	return state.ReachesStore()
}
