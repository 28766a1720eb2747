// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"maps"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// Directory holds all endpoints; it is not safe for concurrent use.
type Directory struct {
	endpoints map[deployment.EndpointID]*EndpointStatus
	byService map[string][]*EndpointStatus
	// gone remembers removed endpoints for goneRetention, so that an older description does not bring them back.
	gone map[deployment.EndpointID]removal
	// draining remembers who was seen draining, and the start of that incarnation, as long as the endpoint is known or remembered
	// as gone: an incarnation never takes work again.
	draining map[deployment.EndpointID]time.Time
	// halls is how this instance reaches each other hall.
	halls map[string]*reach
	// stays is how long requests of each service are in flight; services that are gone stay, a few bytes each.
	stays map[string]time.Duration
}

// removal is how an endpoint went.
type removal struct {
	// revision is the store's, as of which it was gone.
	revision int64
	// seen is when forget first met it; zero before.
	seen time.Time
}

// New makes an empty directory.
func New() *Directory {
	return &Directory{
		endpoints: make(map[deployment.EndpointID]*EndpointStatus),
		byService: make(map[string][]*EndpointStatus),
		gone:      make(map[deployment.EndpointID]removal),
		draining:  make(map[deployment.EndpointID]time.Time),
		halls:     make(map[string]*reach),
		stays:     make(map[string]time.Duration),
	}
}

// Put takes in a description, unless a newer one or a later removal is known. One of another incarnation than the known one
// begins a new status: what was in flight, held and observed went with the process. It reports whether anything changed.
func (d *Directory) Put(endpoint deployment.Endpoint, revision int64) bool {
	if d.gone[endpoint.ID].revision >= revision && revision > 0 {
		return false
	}
	status, ok := d.endpoints[endpoint.ID]
	if ok && status.IsAnotherStart(endpoint.Born) {
		if revision <= status.Revision {
			return false
		}
		d.drop(status)
		ok = false
	}
	if ok && endpoint.Born.IsZero() {
		endpoint.Born = status.Born
	}
	endpoint.State = d.finalState(&endpoint)
	if !ok {
		status = newEndpointStatus(endpoint, revision, d.reachOf(endpoint.Hall))
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
		// The same description again tells nothing newer of copies than the planner's changes since.
		status.OfferedModels, status.Offered = endpoint.Models, endpoint.Adapters
	}
	status.Endpoint = endpoint
	status.Revision = revision
	return true
}

// finalState is the state of a described endpoint: draining is final for an incarnation, whatever is described later.
func (d *Directory) finalState(endpoint *deployment.Endpoint) deployment.EndpointState {
	if endpoint.State == deployment.Draining {
		d.draining[endpoint.ID] = endpoint.Born
		return deployment.Draining
	}
	if drained, ok := d.draining[endpoint.ID]; ok && !endpoint.IsAnotherStart(drained) {
		return deployment.Draining
	}
	return endpoint.State
}

// NoteLeaving takes in that an endpoint said itself that it leaves, which is final for its incarnation. It reports whether that is new.
func (d *Directory) NoteLeaving(id deployment.EndpointID) bool {
	status, ok := d.endpoints[id]
	if !ok || status.State == deployment.Draining {
		return false
	}
	status.State = deployment.Draining
	d.draining[id] = status.Born
	return true
}

// Remove forgets an endpoint that was gone at a revision.
func (d *Directory) Remove(id deployment.EndpointID, revision int64) bool {
	status, ok := d.endpoints[id]
	if ok && status.Revision > revision {
		return false
	}
	d.gone[id] = removal{revision: max(d.gone[id].revision, revision)}
	if !ok {
		return false
	}
	d.drop(status)
	return true
}

// drop takes a status out, so that a later description of its endpoint begins another one.
func (d *Directory) drop(status *EndpointStatus) {
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

// Replace takes a whole list as read at a revision: what it lacks is gone.
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

func (d *Directory) reachOf(hall string) *reach {
	known, ok := d.halls[hall]
	if !ok {
		known = &reach{}
		d.halls[hall] = known
	}
	return known
}

// Endpoint gives one endpoint, or nil.
func (d *Directory) Endpoint(id deployment.EndpointID) *EndpointStatus {
	return d.endpoints[id]
}

// Service gives the endpoints of a service.
func (d *Directory) Service(service string) []*EndpointStatus {
	return d.byService[service]
}

// Endpoints gives all endpoints by name; the caller must not change the map.
func (d *Directory) Endpoints() map[deployment.EndpointID]*EndpointStatus {
	return d.endpoints
}

// Size gives the number of endpoints.
func (d *Directory) Size() int {
	return len(d.endpoints)
}

// Begin counts a request in flight, which waits in the endpoint's own queue until Running or Leave tells otherwise.
func (d *Directory) Begin(now time.Time, id deployment.EndpointID, request *deployment.Request) {
	status, ok := d.endpoints[id]
	if !ok {
		return
	}
	status.Own++
	status.Allowance.Consume(now)
	status.tryAfterRest(now)
	if request.UsesModel() {
		status.wait.enter(now, request.Prompt, status.OthersUnread)
	}
	if !request.Adapter.IsZero() {
		status.OwnByAdapter[request.Adapter]++
	}
	if status.Health.TrialDue(now) {
		status.Health.beginTrial()
	}
}

// End takes a request out of flight and notes how its exchange ended.
func (d *Directory) End(now time.Time, id deployment.EndpointID, adapter deployment.Adapter, outcome Outcome) {
	status, ok := d.endpoints[id]
	if !ok {
		return
	}
	status.Own--
	if !adapter.IsZero() {
		status.OwnByAdapter[adapter]--
		if status.OwnByAdapter[adapter] <= 0 {
			delete(status.OwnByAdapter, adapter)
		}
	}
	status.Health.note(now, outcome, d.failureRate(status))
	status.hall.note(now, outcome)
}

// NoteEnded takes in that an endpoint's process has ended, as another instance has seen. The store names it until it has missed its
// heartbeats, and until then each instance would find out by requests of its own.
func (d *Directory) NoteEnded(now time.Time, id deployment.EndpointID) {
	if status, ok := d.endpoints[id]; ok && !status.Health.ended {
		status.Health.noteEnded()
		status.Health.eject(now)
	}
}

// failureRate is the mean failure rate of the other endpoints of a service.
func (d *Directory) failureRate(except *EndpointStatus) float64 {
	sum, count := 0.0, 0
	for _, status := range d.byService[except.Service] {
		if status == except || status.Health.exchanges < comparedExchanges {
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

// NoteMissing remembers that an endpoint said it does not hold an adapter.
func (d *Directory) NoteMissing(now time.Time, id deployment.EndpointID, adapter deployment.Adapter) {
	if status, ok := d.endpoints[id]; ok {
		status.missing[adapter] = now
	}
}

// SetOffered takes in which models and adapters of an endpoint new requests may use, as the planner's view lists them.
func (d *Directory) SetOffered(id deployment.EndpointID, models []string, adapters map[deployment.Adapter]int64) {
	if status, ok := d.endpoints[id]; ok {
		status.OfferedModels, status.Offered = models, adapters
	}
}

// SetCopy takes in that a copy is on offer at a version, or with version 0 no more.
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

// heldRetention is how long an adapter that was dropped is expected to load fast. Longer prefers endpoints that may have lost it since,
// shorter loads from the weight store what an endpoint still has.
const heldRetention = 10 * time.Minute

// goneRetention is how long an endpoint that is gone is remembered. Longer bears descriptions that come later, which a peer or the store's
// watch delays by seconds at most; shorter takes less memory for endpoints that come and go.
const goneRetention = 10 * time.Minute

// forget drops what is remembered of endpoints that have been gone for long, and what endpoints lacked before.
func (d *Directory) forget(now time.Time) {
	for id, removed := range d.gone {
		switch {
		case removed.seen.IsZero():
			removed.seen = now
			d.gone[id] = removed
		case now.Sub(removed.seen) > goneRetention:
			delete(d.gone, id)
			if _, known := d.endpoints[id]; !known {
				delete(d.draining, id)
			}
		}
	}
	for _, status := range d.endpoints {
		maps.DeleteFunc(status.missing, func(_ deployment.Adapter, at time.Time) bool { return now.Sub(at) > missingFor })
	}
}

// RememberHeld notes what each endpoint holds now, and forgets what it held, and which endpoints were there, long ago.
func (d *Directory) RememberHeld(now time.Time) {
	d.forget(now)
	for _, status := range d.endpoints {
		for adapter := range status.Offered {
			status.Held[adapter] = now
		}
		for adapter, at := range status.Held {
			if now.Sub(at) > heldRetention {
				delete(status.Held, adapter)
			}
		}
	}
}
