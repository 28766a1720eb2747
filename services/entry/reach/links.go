// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package reach

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

const (
	// minBypassTime and maxBypassTime bound how long an endpoint is first connected to through another instance after this instance's own
	// link to it failed. Higher values lose less time to a broken link, lower ones return to the own link sooner.
	minBypassTime = time.Second
	maxBypassTime = 8 * time.Second
	// bypassGrowth is the factor from one such time to the next while the link stays broken.
	bypassGrowth = 2
	// cutOffEndpoints is how many endpoints must be reached through another instance, and none over an own link since, until this instance
	// counts as cut off from all endpoints. A lower value detects it sooner, and mistakes a single broken link for it.
	cutOffEndpoints = 2
	// vainTime is how long no other instance is asked for an endpoint that neither this instance nor another one reached. A higher value
	// spares the other instances while endpoints are down, a lower one finds a way around a broken link sooner.
	vainTime = 400 * time.Millisecond
	// suspicionTime is how long new connections over the own link to an endpoint must prove themselves before they are used, after one of
	// them failed. A higher value loses fewer requests to links that accept connections and carry nothing, a lower one delays fewer requests.
	suspicionTime = 5 * time.Second
)

// Links keeps which endpoints this instance reaches over its own links.
type Links struct {
	// bypassed are the endpoints whose last connection was possible only through another instance.
	bypassed map[deployment.EndpointID]*bypass
	// vain holds the endpoints that neither way reached, and when that was.
	vain map[deployment.EndpointID]time.Time
	// suspected holds the endpoints whose last connection over an own link failed before any answer, and when that was.
	suspected map[deployment.EndpointID]time.Time
	// connectedAt is when an endpoint was last reached over an own link.
	connectedAt time.Time
	cutOff      bool
}

// bypass describes the broken link to one endpoint.
type bypass struct {
	// lastAt is when the endpoint was last reached through another instance although the own link had been tried.
	lastAt  time.Time
	retryAt time.Time
	length  time.Duration
}

// NewLinks returns links that count as working.
func NewLinks() *Links {
	return &Links{
		bypassed: make(map[deployment.EndpointID]*bypass), vain: make(map[deployment.EndpointID]time.Time),
		suspected: make(map[deployment.EndpointID]time.Time),
	}
}

// Order is the order in which the ways to an endpoint are tried.
type Order int

// The orders of the ways to an endpoint. The second way is tried once the first one fails or takes long.
const (
	// OwnLinkOnly tries only the own link.
	OwnLinkOnly Order = iota
	// OwnLinkFirst tries the own link, then another instance.
	OwnLinkFirst
	// PeerFirst tries another instance, then the own link.
	PeerFirst
)

// Order returns the order in which the ways to an endpoint are to be tried.
func (l *Links) Order(now time.Time, id deployment.EndpointID) Order {
	broken := l.bypassed[id]
	switch {
	case l.cutOff, broken != nil && now.Before(broken.retryAt):
		return PeerFirst
	case now.Sub(l.vain[id]) < vainTime:
		return OwnLinkOnly
	default:
		return OwnLinkFirst
	}
}

// CutOff reports whether this instance counts as cut off from all endpoints.
func (l *Links) CutOff() bool {
	return l.cutOff
}

// RecordConnected records that an endpoint has answered over an own link, which ends a cut-off.
func (l *Links) RecordConnected(now time.Time, id deployment.EndpointID) {
	l.Forget(id)
	l.connectedAt, l.cutOff = now, false
}

// RecordBypassed records that an endpoint has answered through another instance after the own link to it had failed.
func (l *Links) RecordBypassed(now time.Time, id deployment.EndpointID) {
	delete(l.vain, id)
	broken, known := l.bypassed[id]
	if !known {
		broken = &bypass{}
		l.bypassed[id] = broken
	}
	broken.lastAt = now
	broken.length = min(max(bypassGrowth*broken.length, minBypassTime), maxBypassTime)
	broken.retryAt = now.Add(broken.length)
	l.cutOff = l.cutOff || l.countBypassedSinceConnected() >= cutOffEndpoints
}

// RecordFailed records that a new connection over the own link to an endpoint failed before any answer.
func (l *Links) RecordFailed(now time.Time, id deployment.EndpointID) {
	l.suspected[id] = now
}

// MustProve reports whether the endpoint must have answered over a new connection over the own link before a request is sent over it.
func (l *Links) MustProve(now time.Time, id deployment.EndpointID) bool {
	return l.cutOff || l.bypassed[id] != nil || now.Sub(l.suspected[id]) < suspicionTime
}

// IsBroken reports whether the own link to an endpoint has failed, so that a failed exchange shows nothing about the endpoint.
func (l *Links) IsBroken(id deployment.EndpointID) bool {
	return l.cutOff || l.bypassed[id] != nil
}

// RecordVain records that an endpoint was reached neither over an own link nor through another instance.
func (l *Links) RecordVain(now time.Time, id deployment.EndpointID) {
	l.vain[id] = now
}

// countBypassedSinceConnected returns the number of endpoints that were reached only through another instance since any endpoint was last
// reached over an own link.
func (l *Links) countBypassedSinceConnected() int {
	count := 0
	for _, broken := range l.bypassed {
		if broken.lastAt.After(l.connectedAt) {
			count++
		}
	}
	return count
}

// Bypassed returns the endpoints that were last reached only through another instance.
func (l *Links) Bypassed() []deployment.EndpointID {
	ids := make([]deployment.EndpointID, 0, len(l.bypassed))
	for id := range l.bypassed {
		ids = append(ids, id)
	}
	return ids
}

// Forget removes an endpoint that is gone.
func (l *Links) Forget(id deployment.EndpointID) {
	delete(l.bypassed, id)
	delete(l.vain, id)
	delete(l.suspected, id)
}
