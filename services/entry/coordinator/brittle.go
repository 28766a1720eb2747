// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/limit"
)

// brittleness is what this instance knows about services whose endpoints fall over if they reject too many requests.
type brittleness struct {
	// services holds, by service, how many requests per second an endpoint can reject. A service that was brittle stays without a limit, so
	// that an older report does not count again.
	services map[string]*limit.ReportedLimit
	// ended holds the services that ceased to be brittle since the last report. Each value is the time at which the request was sent whose
	// response showed that.
	ended map[string]time.Time
	// rejected are the endpoints that rejected requests of this instance since the last report, with the time of the last one.
	rejected map[deployment.EndpointID]time.Time
	// changed is set if the planner's next view must include the list.
	changed bool
}

func newBrittleness() brittleness {
	return brittleness{
		services: make(map[string]*limit.ReportedLimit), ended: make(map[string]time.Time), rejected: make(map[deployment.EndpointID]time.Time),
	}
}

// isBrittle reports whether the endpoints of a service fall over if they reject too many requests.
func (c *Coordinator) isBrittle(service string) bool {
	reported, known := c.brittle.services[service]
	return known && reported.HasLimit()
}

// applyObservedBrittleness applies what the response to a request of this instance, which was sent at the given time, tells about its
// endpoint and the service.
func (c *Coordinator) applyObservedBrittleness(now time.Time, status *directory.EndpointStatus, sentAt time.Time, notice deployment.Notice) {
	if notice.Brittle == nil {
		c.mergeBrittleEnd(status.Service, sentAt)
	} else {
		c.mergeBrittle(status.Service, *notice.Brittle, now)
	}
	if notice.Rejected && c.isBrittle(status.Service) && c.markFull(now, status, now) {
		c.brittle.rejected[status.ID] = now
		// The other instances must know before they send requests there.
		c.requestReport(now)
	}
}

// mergeBrittle records that an endpoint of a service stated at the given time, to this or another instance, how many requests it can reject.
func (c *Coordinator) mergeBrittle(service string, rejections float64, statedAt time.Time) {
	reported, known := c.brittle.services[service]
	if !known {
		reported = &limit.ReportedLimit{}
		c.brittle.services[service] = reported
	}
	if reported.MergeReport(rejections, statedAt) == limit.Unchanged {
		return
	}
	delete(c.brittle.ended, service)
	c.brittle.changed = true
	c.countBrittleServices()
	c.options.Log.WithFields(logrus.Fields{fieldService: service, "rejections_per_second": rejections}).
		Info("the endpoints of a service are brittle: they get no more requests than they have places for")
}

// mergeBrittleEnd records that an endpoint of a service stated nothing of that kind to a request that was sent at the given time. It counts only
// if no endpoint has stated it for a while.
func (c *Coordinator) mergeBrittleEnd(service string, sentAt time.Time) {
	reported, known := c.brittle.services[service]
	if !known || reported.MergeLift(sentAt) == limit.Unchanged {
		return
	}
	c.brittle.ended[service] = sentAt
	c.brittle.changed = true
	c.countBrittleServices()
	for _, status := range c.directory.Service(service) {
		status.Room = limit.Room{}
	}
	c.options.Log.WithField(fieldService, service).Info("the endpoints of a service are no longer brittle")
}

// countBrittleServices updates the number of services with brittle endpoints.
func (c *Coordinator) countBrittleServices() {
	count := 0
	for service := range c.brittle.services {
		if c.isBrittle(service) {
			count++
		}
	}
	c.brittleServices.Store(int64(count))
}

// markFull records that an endpoint rejected a request at the given time, and reports whether that was not known.
func (c *Coordinator) markFull(now time.Time, status *directory.EndpointStatus, rejectedAt time.Time) bool {
	load := limit.Load{
		Places: max(1, status.Slots), Own: status.OwnRequests, Reported: status.ReportedRequests, Others: status.OthersRequests,
	}
	isNew := status.Room.MarkFull(now, rejectedAt, load, c.options.Random())
	c.brittle.changed = c.brittle.changed || isNew
	return isNew
}

// addBrittleToReport adds to a report what this instance knows about brittle endpoints.
func (c *Coordinator) addBrittleToReport(now time.Time, r *wire.Report) {
	r.Brittle = c.brittleServiceList(now)
	for service, sentAt := range c.brittle.ended {
		r.BrittleEnds = append(r.BrittleEnds, wire.BrittleEnd{Service: service, Age: now.Sub(sentAt)})
	}
	for id, at := range c.brittle.rejected {
		r.Full = append(r.Full, wire.Full{ID: id, Age: now.Sub(at)})
	}
	clear(c.brittle.ended)
	clear(c.brittle.rejected)
}

// brittleServiceList returns the services of brittle endpoints in order.
func (c *Coordinator) brittleServiceList(now time.Time) []wire.Brittle {
	var list []wire.Brittle
	for service, reported := range c.brittle.services {
		if !reported.HasLimit() {
			continue
		}
		list = append(list, wire.Brittle{Service: service, Rejections: reported.PerSecond(), Age: now.Sub(reported.ReportedAt())})
	}
	slices.SortFunc(list, func(a, b wire.Brittle) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// brittleList returns all that is known about brittle endpoints for a view.
func (c *Coordinator) brittleList(now time.Time) *wire.BrittleList {
	list := &wire.BrittleList{Services: c.brittleServiceList(now)}
	for _, service := range list.Services {
		for _, status := range c.directory.Service(service.Service) {
			if status.Room.IsFull(now) {
				list.Full = append(list.Full, wire.Full{ID: status.ID, Age: now.Sub(status.Room.RejectedAt())})
			}
		}
	}
	slices.SortFunc(list.Full, func(a, b wire.Full) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// mergeReportedBrittle merges what a member reports about brittle endpoints.
func (p *planner) mergeReportedBrittle(now time.Time, r *wire.Report) {
	c := p.coordinator
	c.mergeBrittleList(now, r.Brittle, r.Full)
	for _, end := range r.BrittleEnds {
		c.mergeBrittleEnd(end.Service, now.Add(-end.Age))
	}
}

// mergeBrittleList merges what another instance knows about brittle endpoints.
func (c *Coordinator) mergeBrittleList(now time.Time, services []wire.Brittle, full []wire.Full) {
	for _, brittle := range services {
		c.mergeBrittle(brittle.Service, brittle.Rejections, now.Add(-brittle.Age))
	}
	for _, rejected := range full {
		if status := c.directory.Endpoint(rejected.ID); status != nil {
			c.markFull(now, status, now.Add(-rejected.Age))
		}
	}
}

// addBrittleChanges adds what is known about brittle endpoints to a view if it has changed or if all is true. Once a service was brittle, an
// empty list tells the members again and again that none is.
func (p *planner) addBrittleChanges(now time.Time, v *wire.View, all bool) {
	c := p.coordinator
	if !c.brittle.changed && (!all || len(c.brittle.services) == 0) {
		return
	}
	c.brittle.changed = false
	v.Brittle = c.brittleList(now)
}

// applyBrittle applies what the planner's view tells about brittle endpoints. A service that the list does not contain is not brittle any
// more, unless this instance has heard so later.
func (c *Coordinator) applyBrittle(now time.Time, v *wire.View) {
	if v.Brittle == nil {
		return
	}
	c.mergeBrittleList(now, v.Brittle.Services, v.Brittle.Full)
	for _, known := range c.brittleServiceList(now) {
		isListed := func(listed wire.Brittle) bool { return listed.Service == known.Service }
		if !slices.ContainsFunc(v.Brittle.Services, isListed) {
			c.mergeBrittleEnd(known.Service, now.Add(-c.follower.Delay))
		}
	}
}
