// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package limit

import (
	"slices"
	"time"
)

const (
	// additionalShare is the share of the free places that the additional requests of all instances take on average until the counts are
	// renewed. A higher value fills an endpoint sooner, a lower one risks fewer rejections.
	additionalShare = 0.4
	// takenMeanTime is the time over which the taken places are averaged for the rate of additional requests. A higher value lets the instances
	// send together less often, a lower one uses places sooner that have become free.
	takenMeanTime = time.Second
	// lingerTime is how long an endpoint may go on with a request whose connection was closed. A higher value risks fewer rejections, a lower
	// one loses fewer places.
	lingerTime = 1500 * time.Millisecond
	// fullTime is how long an endpoint that has rejected a request gets no additional ones. A higher value risks fewer rejections, a lower one
	// uses free places sooner.
	fullTime = 500 * time.Millisecond
	// placeRecovery is the time after which one place more is used that a rejection has shown to be missing. A higher value risks fewer
	// rejections, a lower one uses free places sooner.
	placeRecovery = 250 * time.Millisecond
	// placesDivisor bounds how far one rejection lowers the number of places: to the former number divided by it. A higher value risks fewer
	// rejections, a lower one loses less to counts of the other instances that are late.
	placesDivisor = 2
	// defaultInFlightTime is how long requests are assumed to be in flight while that is not known, and minInFlightTime the least that is
	// assumed. Higher values add requests more slowly.
	defaultInFlightTime = 250 * time.Millisecond
	minInFlightTime     = 20 * time.Millisecond
)

// Load is what an instance knows about the load of an endpoint.
type Load struct {
	// Places is how many requests the endpoint can have in flight. Own is the number of this instance's requests in flight, Reported the number
	// that it last reported, which the other instances count. Others is the number of theirs as of the planner's last view.
	Places, Own, Reported, Others int
	// OthersAge is how old Others is.
	OthersAge time.Duration
	// Members is the number of instances, at least 1.
	Members int
	// InFlightTime is how long requests of the service are in flight on average; 0 if unknown.
	InFlightTime time.Duration
}

// Room decides how many requests an instance sends to an endpoint that must not get more than it has places for, since it falls over if it
// rejects too many. The instances have no common count that is up to date. Therefore an instance has as many requests in flight as it last
// reported without further ado, since the others count these, and sends additional ones only at a rate: all instances together take a share of
// the free places. After a rejection no instance sends additional ones for a while. The zero value is ready to use.
type Room struct {
	started bool
	// lingering are the times until which the endpoint may go on with abandoned requests, the earliest first.
	lingering []time.Time
	// additional counts the additional requests that this instance may send.
	additional tokenBucket
	// taken is the mean number of taken places over takenMeanTime, as of takenAt.
	taken   float64
	takenAt time.Time
	// rejectedAt is when the endpoint last rejected a request; zero for never. lowered is the number of places that it seemed to have then,
	// at least half of those known before, since the other instances' requests may be counted late.
	rejectedAt time.Time
	lowered    int
}

// Admits reports whether this instance may send a request now; random is in [0, 1) and delays the first additional request, so that the
// instances do not send theirs together.
func (r *Room) Admits(now time.Time, load Load, random float64) bool {
	if !r.started {
		r.started, r.additional = true, tokenBucket{tokens: random}
	}
	r.expire(now)
	taken := max(load.Own, load.Reported) + len(r.lingering) + load.Others
	free := r.places(now, load) - taken
	r.additional.refill(now, r.additionalRate(now, load, r.usualTaken(now, load, taken)))
	if load.Own < load.Reported {
		return free >= 0
	}
	return free > 0 && !r.IsFull(now) && r.additional.hasToken()
}

// usualTaken returns how many places are to be counted as taken for the rate of additional requests. All instances see the same number at the
// same time. As far as requests have ended since it was counted, it is chance: after a low number all instances would send at a higher rate. To
// that extent the mean counts instead, if it is higher.
func (r *Room) usualTaken(now time.Time, load Load, taken int) float64 {
	weight := 1.0
	if !r.takenAt.IsZero() {
		weight = min(1, now.Sub(r.takenAt).Seconds()/takenMeanTime.Seconds())
	}
	r.taken += weight * (float64(taken) - r.taken)
	r.takenAt = now
	ended := 0.0
	if load.OthersAge > load.InFlightTime {
		ended = 1 - load.InFlightTime.Seconds()/load.OthersAge.Seconds()
	}
	return float64(taken) + ended*max(0, r.taken-float64(taken))
}

// additionalRate returns how many additional requests per second this instance may send, given the number of taken places. While the endpoint is full there are none, also none
// to be saved up: the instances would send them together.
func (r *Room) additionalRate(now time.Time, load Load, taken float64) float64 {
	if r.IsFull(now) {
		return 0
	}
	inFlightTime := load.InFlightTime
	if inFlightTime == 0 {
		inFlightTime = defaultInFlightTime
	}
	free := max(0, float64(r.places(now, load))-taken)
	return additionalShare * free / float64(load.Members) / max(inFlightTime, minInFlightTime).Seconds()
}

// places returns the number of places that the endpoint is assumed to have.
func (r *Room) places(now time.Time, load Load) int {
	if r.rejectedAt.IsZero() {
		return load.Places
	}
	recovered := int(now.Sub(r.rejectedAt) / placeRecovery)
	return min(load.Places, r.lowered+recovered)
}

// IsFull reports whether the endpoint has rejected a request a short time ago, so that it gets no additional ones.
func (r *Room) IsFull(now time.Time) bool {
	return !r.rejectedAt.IsZero() && now.Sub(r.rejectedAt) < fullTime
}

// Begin records that a request is sent; load is that before it.
func (r *Room) Begin(load Load) {
	if r.started && load.Own >= load.Reported {
		r.additional.takeToken()
	}
}

// Abandon records that the exchange of a request ended before its answer: the endpoint may go on with the request.
func (r *Room) Abandon(now time.Time) {
	if r.started {
		r.lingering = append(r.lingering, now.Add(lingerTime))
	}
}

// MarkFull records that the endpoint rejected a request, of this or another instance, at a given time. It reports whether this was not known.
func (r *Room) MarkFull(now, at time.Time, load Load, random float64) bool {
	if !at.After(r.rejectedAt) {
		return false
	}
	places := r.places(now, load)
	r.lowered = max(1, places/placesDivisor, min(places, load.Own+load.Others-1))
	r.started, r.rejectedAt, r.additional.tokens = true, at, min(r.additional.tokens, random)
	return true
}

// RejectedAt returns when the endpoint last rejected a request; zero for never.
func (r *Room) RejectedAt() time.Time {
	return r.rejectedAt
}

// expire forgets abandoned requests whose time is over.
func (r *Room) expire(now time.Time) {
	r.lingering = slices.DeleteFunc(r.lingering, func(until time.Time) bool { return !now.Before(until) })
}
