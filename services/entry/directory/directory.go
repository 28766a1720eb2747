// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"maps"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/limit"
)

// Directory holds the status of all endpoints. It is not safe for concurrent use.
type Directory struct {
	endpoints map[deployment.EndpointID]*EndpointStatus
	byService map[string][]*EndpointStatus
	// removed holds removed endpoints for goneRetention, so that an older description does not add them again.
	removed map[deployment.EndpointID]removal
	// draining holds the start time of each incarnation that was seen draining, for as long as the endpoint is known or in removed. A
	// draining incarnation never takes work again.
	draining map[deployment.EndpointID]time.Time
	// halls is the reachability of each hall from this instance.
	halls map[string]*hallReachability
	// inFlightTimes is the mean time in flight of the requests of each service. Entries of removed services are kept, at a few bytes each.
	inFlightTimes map[string]time.Duration
	// softwareRevision counts the changes of which endpoints there are and of their software.
	softwareRevision uint64
	// software is the result of Software as of knownSoftwareRevision.
	software              map[string][]string
	knownSoftwareRevision uint64
}

// removal describes when an endpoint was removed.
type removal struct {
	// revision is the store revision as of which the endpoint was gone.
	revision int64
	// returned is the position of the description by which the endpoint came back in a later era of the store; 0 if it did not.
	returned int64
	// firstSweep is when sweep first processed the removal; zero before that.
	firstSweep time.Time
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		endpoints:     make(map[deployment.EndpointID]*EndpointStatus),
		byService:     make(map[string][]*EndpointStatus),
		removed:       make(map[deployment.EndpointID]removal),
		draining:      make(map[deployment.EndpointID]time.Time),
		halls:         make(map[string]*hallReachability),
		inFlightTimes: make(map[string]time.Duration),
	}
}

// Put adds or updates an endpoint, unless a newer description or a later removal is known. A description of another incarnation replaces
// the status: requests in flight, held adapters and health belonged to the previous process. Put reports whether anything changed.
func (d *Directory) Put(endpoint deployment.Endpoint, revision int64) bool {
	if d.removed[endpoint.ID].revision >= revision && revision > 0 {
		return false
	}
	status, ok := d.endpoints[endpoint.ID]
	if ok && status.IsOtherIncarnation(endpoint.Born) {
		if revision <= status.Revision {
			return false
		}
		d.dropStatus(status)
		ok = false
	}
	if ok && endpoint.Born.IsZero() {
		endpoint.Born = status.Born
	}
	if ok && endpoint.Software == "" {
		endpoint.Software = status.Software
	}
	if !ok || endpoint.Software != status.Software {
		d.softwareRevision++
	}
	endpoint.State = d.effectiveState(&endpoint)
	if d.cameBackFromCopy(endpoint.ID, revision) {
		endpoint.State = deployment.Draining
	}
	if !ok {
		status = newEndpointStatus(endpoint, revision, d.reachabilityOf(endpoint.Hall))
		d.endpoints[endpoint.ID] = status
		d.byService[endpoint.Service] = append(d.byService[endpoint.Service], status)
		return true
	}
	if revision < status.Revision {
		if endpoint.State == deployment.Draining && status.State != deployment.Draining {
			status.State = deployment.Draining
			return true
		}
		return false
	}
	if revision > status.Revision || revision == 0 {
		// A description that was already applied has no newer information on copies than the planner's changes since.
		status.OfferedModels, status.Offered = endpoint.Models, endpoint.Adapters
	}
	status.Endpoint = endpoint
	status.Revision = revision
	return true
}

// cameBackFromCopy reports whether a description is of an endpoint that was gone, and is there again only because the store came back from a
// copy. An endpoint that lives writes its description again, at another position.
func (d *Directory) cameBackFromCopy(id deployment.EndpointID, position int64) bool {
	gone, ok := d.removed[id]
	if !ok || store.EraOf(position) <= store.EraOf(gone.revision) {
		return false
	}
	if gone.returned == 0 {
		gone.returned = position
		d.removed[id] = gone
	}
	return gone.returned == position
}

// effectiveState returns the state to use for a described endpoint: draining is final for an incarnation, whatever later descriptions
// contain.
func (d *Directory) effectiveState(endpoint *deployment.Endpoint) deployment.EndpointState {
	if endpoint.State == deployment.Draining {
		d.draining[endpoint.ID] = endpoint.Born
		return deployment.Draining
	}
	if drained, ok := d.draining[endpoint.ID]; ok && !endpoint.IsOtherIncarnation(drained) {
		return deployment.Draining
	}
	return endpoint.State
}

// MarkDraining marks an endpoint as draining after it announced that in a response, which is final for its incarnation. It reports whether
// the state changed.
func (d *Directory) MarkDraining(id deployment.EndpointID) bool {
	status, ok := d.endpoints[id]
	if !ok || status.State == deployment.Draining {
		return false
	}
	status.State = deployment.Draining
	d.draining[id] = status.Born
	return true
}

// Remove removes an endpoint that was gone as of a revision, unless a newer description is known. It reports whether an endpoint was
// removed.
func (d *Directory) Remove(id deployment.EndpointID, revision int64) bool {
	status, ok := d.endpoints[id]
	if ok && status.Revision > revision {
		return false
	}
	d.removed[id] = removal{revision: max(d.removed[id].revision, revision), returned: d.removed[id].returned}
	if !ok {
		return false
	}
	d.dropStatus(status)
	return true
}

// dropStatus removes a status, so that a later description of its endpoint creates a new one.
func (d *Directory) dropStatus(status *EndpointStatus) {
	d.softwareRevision++
	delete(d.endpoints, status.ID)
	list := d.byService[status.Service]
	for i, other := range list {
		if other == status {
			d.byService[status.Service] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(d.byService[status.Service]) == 0 {
		delete(d.byService, status.Service)
	}
}

// Replace applies a complete list that was read at a revision and removes all endpoints that it does not contain.
func (d *Directory) Replace(endpoints []deployment.Endpoint, revisions []int64, at int64) {
	listed := make(map[deployment.EndpointID]bool, len(endpoints))
	for i, endpoint := range endpoints {
		listed[endpoint.ID] = true
		d.Put(endpoint, revisions[i])
	}
	for id := range d.endpoints {
		if !listed[id] {
			d.Remove(id, at)
		}
	}
}

func (d *Directory) reachabilityOf(hall string) *hallReachability {
	known, ok := d.halls[hall]
	if !ok {
		known = &hallReachability{}
		d.halls[hall] = known
	}
	return known
}

// Endpoint returns the status of an endpoint, or nil if the endpoint is not known.
func (d *Directory) Endpoint(id deployment.EndpointID) *EndpointStatus {
	return d.endpoints[id]
}

// Service returns the endpoints of a service.
func (d *Directory) Service(service string) []*EndpointStatus {
	return d.byService[service]
}

// Endpoints returns all endpoints by ID. The caller must not change the map.
func (d *Directory) Endpoints() map[deployment.EndpointID]*EndpointStatus {
	return d.endpoints
}

// Size returns the number of endpoints.
func (d *Directory) Size() int {
	return len(d.endpoints)
}

// Begin counts a request as in flight at an endpoint. A request for a model counts as waiting in the endpoint's own queue until MarkRunning
// or LeaveQueue is called for it.
func (d *Directory) Begin(now time.Time, id deployment.EndpointID, request *deployment.Request) {
	status, ok := d.endpoints[id]
	if !ok {
		return
	}
	status.OwnRequests++
	status.Allowance.Consume(now)
	status.Room.Begin(limit.Load{Own: status.OwnRequests - 1, Reported: status.ReportedRequests})
	status.beginRestTrial(now)
	if request.UsesModel() {
		status.wait.add(now, request.PromptTokens, status.OthersUnread)
	}
	if !request.Adapter.IsZero() {
		status.OwnByAdapter[request.Adapter]++
	}
	if status.Health.TrialDue(now) {
		status.Health.beginTrial()
	}
}

// End removes a request from the requests in flight and records the outcome of its exchange.
func (d *Directory) End(now time.Time, id deployment.EndpointID, adapter deployment.Adapter, outcome Outcome) {
	status, ok := d.endpoints[id]
	if !ok {
		return
	}
	status.OwnRequests--
	if outcome == Broken || outcome == Neutral {
		status.Room.Abandon(now)
	}
	if !adapter.IsZero() {
		status.OwnByAdapter[adapter]--
		if status.OwnByAdapter[adapter] <= 0 {
			delete(status.OwnByAdapter, adapter)
		}
	}
	status.Health.record(now, outcome, d.meanFailureRate(status))
	status.hall.record(now, outcome)
}

// MarkEnded records that another instance saw an endpoint's process end. The store lists the endpoint until it has missed its heartbeats;
// without this notice each instance would lose requests of its own until then.
func (d *Directory) MarkEnded(now time.Time, id deployment.EndpointID) {
	if status, ok := d.endpoints[id]; ok && !status.Health.processEnded {
		status.Health.markEnded()
		status.Health.eject(now)
	}
}

// meanFailureRate returns the mean failure rate of the other endpoints of a service.
func (d *Directory) meanFailureRate(except *EndpointStatus) float64 {
	sum, count := 0.0, 0
	for _, status := range d.byService[except.Service] {
		if status == except || status.Health.exchanges < minimumComparedExchanges {
			continue
		}
		sum += status.Health.rate
		count++
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// MarkMissing records that an endpoint answered that it does not hold an adapter.
func (d *Directory) MarkMissing(now time.Time, id deployment.EndpointID, adapter deployment.Adapter) {
	if status, ok := d.endpoints[id]; ok {
		status.missing[adapter] = now
	}
}

// SetOffered sets the models and adapters of an endpoint that new requests may use, as listed in the planner's view.
func (d *Directory) SetOffered(id deployment.EndpointID, models []string, adapters map[deployment.Adapter]int64) {
	if status, ok := d.endpoints[id]; ok {
		status.OfferedModels, status.Offered = models, adapters
	}
}

// LearnSoftware sets the software of an endpoint whose software is not known yet.
func (d *Directory) LearnSoftware(id deployment.EndpointID, software string) {
	if status, ok := d.endpoints[id]; ok && status.Software == "" && software != "" {
		status.Software = software
		d.softwareRevision++
	}
}

// SetCopy sets the version at which an endpoint offers an adapter; version 0 withdraws the offer.
func (d *Directory) SetCopy(id deployment.EndpointID, adapter deployment.Adapter, version int64) {
	status, ok := d.endpoints[id]
	if !ok {
		return
	}
	offered := maps.Clone(status.Offered)
	if offered == nil {
		offered = make(map[deployment.Adapter]int64)
	}
	if version == 0 {
		delete(offered, adapter)
	} else {
		offered[adapter] = version
	}
	status.Offered = offered
}

// goneRetention is how long removed endpoints are remembered. A higher value tolerates descriptions that arrive later (a peer or the
// store's watch delays them by seconds at most), a lower one takes less memory where endpoints come and go.
const goneRetention = 10 * time.Minute

// sweep deletes removals older than goneRetention and missing adapters older than missingRetention.
func (d *Directory) sweep(now time.Time) {
	for id, entry := range d.removed {
		switch {
		case entry.firstSweep.IsZero():
			entry.firstSweep = now
			d.removed[id] = entry
		case now.Sub(entry.firstSweep) > goneRetention:
			delete(d.removed, id)
			if _, known := d.endpoints[id]; !known {
				delete(d.draining, id)
			}
		}
	}
	for _, status := range d.endpoints {
		maps.DeleteFunc(status.missing, func(_ deployment.Adapter, at time.Time) bool { return now.Sub(at) > missingRetention })
	}
}

// UpdateHeld records which adapters each endpoint holds now, and deletes held adapters and removed endpoints whose retention is over.
func (d *Directory) UpdateHeld(now time.Time) {
	d.sweep(now)
	for _, status := range d.endpoints {
		for adapter := range status.Offered {
			status.Held[adapter] = now
		}
		for adapter, at := range status.Held {
			if now.Sub(at) > deployment.HeldRetention {
				delete(status.Held, adapter)
			}
		}
	}
}
