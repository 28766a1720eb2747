// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// maxMixedStreams is how many streams of a run may hold events of two software versions. The platform allows as many.
	maxMixedStreams = 2
	// minTakenUp is the number of streams from which on the share that goes on is judged, and minGoingOn the least part of the share of new
	// streams that begin. The platform uses the same values.
	minTakenUp = 12
	minGoingOn = 0.5
	// minServing is how many endpoints of the software version of a stream must serve for the stream to count.
	minServing = 2
)

// TakenUp counts the streams that their callers take up where they break.
type TakenUp struct {
	// Mixed is how many hold events of more than one software version.
	Mixed int
	// Streams is how many were taken up while enough endpoints of their software version served, at instances without trouble, and GoneOn how
	// many of them went on. New is how many began there or were refused, and Begun how many of them began.
	Streams, GoneOn, New, Begun int
}

// String returns the counts as text of the summary of a run.
func (t TakenUp) String() string {
	return fmt.Sprintf("; streams of two software versions %d; %d of %d streams taken up went on, %d of %d new ones began", t.Mixed, t.GoneOn, t.Streams, t.Begun, t.New)
}

// goesOnEnough reports whether enough of the streams went on, against the new ones that began.
func (t TakenUp) goesOnEnough() bool {
	if t.Streams < minTakenUp || t.New == 0 {
		return true
	}
	return float64(t.GoneOn)/float64(t.Streams) >= minGoingOn*float64(t.Begun)/float64(t.New)
}

// triesByStream returns the tries of each stream that its caller takes up, in order of time.
func (r *Record) triesByStream() map[string][]Attempt {
	streams := make(map[string][]Attempt)
	for _, a := range r.Attempts {
		if a.Stream != "" {
			streams[a.Stream] = append(streams[a.Stream], a)
		}
	}
	for _, tries := range streams {
		slices.SortStableFunc(tries, func(a, b Attempt) int { return a.Began.Compare(b.Began) })
	}
	return streams
}

// softwareOf returns the software versions of the events of all tries, in their order.
func softwareOf(tries []Attempt) []string {
	var software []string
	for _, a := range tries {
		for _, one := range a.Software {
			if !slices.Contains(software, one) {
				software = append(software, one)
			}
		}
	}
	return software
}

// CountTakenUp counts the streams that their callers take up.
func CountTakenUp(r *Record) TakenUp {
	var count TakenUp
	for _, tries := range r.triesByStream() {
		if len(softwareOf(tries)) > 1 {
			count.Mixed++
		}
		for begin := 0; begin < len(tries); {
			end := begin + 1
			for end < len(tries) && tries[end].LastEvent == tries[begin].LastEvent {
				end++
			}
			r.addTries(&count, tries[:begin], tries[begin:end])
			begin = end
		}
	}
	return count
}

// addTries counts the tries that begin a stream, or take it up after the former tries, until one brings an event.
func (r *Record) addTries(count *TakenUp, former, tries []Attempt) {
	if slices.ContainsFunc(tries, func(a Attempt) bool { return !r.inTouch(a) }) {
		return
	}
	brought := 0
	if slices.ContainsFunc(tries, func(a Attempt) bool { return a.Events > 0 }) {
		brought = 1
	}
	if tries[0].LastEvent == 0 {
		count.New, count.Begun = count.New+1, count.Begun+brought
		return
	}
	software := softwareOf(former)
	if len(software) == 0 || r.serving(software[0], tries[0].Began, tries[len(tries)-1].Ended) < minServing {
		return
	}
	count.Streams, count.GoneOn = count.Streams+1, count.GoneOn+brought
}

// inTouch reports whether neither the store nor the instance of an attempt was disrupted at its time or shortly before.
func (r *Record) inTouch(a Attempt) bool {
	from := a.Began.Add(-contact)
	return a.Instance != "" && !r.disrupted("", from, a.Ended, StoreFault) && !r.disrupted(a.Instance, from, a.Ended, Kill, Stop, Freeze, LinkBroken, StoreFault)
}

// serving returns how many endpoints of a software version served during the whole span, and since contact before it.
func (r *Record) serving(software string, from, to time.Time) int {
	count := 0
	for _, e := range r.Endpoints {
		serves := e.Software == software && !e.From.After(from.Add(-contact)) && (e.To.IsZero() || e.To.After(to))
		if serves && !r.disrupted(e.Endpoint, from, to, EndpointEnds) {
			count++
		}
	}
	return count
}

// checkSoftware finds streams with events of two software versions, if there are more than the platform allows.
func checkSoftware(r *Record) []Finding {
	var findings []Finding
	for id, tries := range r.triesByStream() {
		if software := softwareOf(tries); len(software) > 1 {
			findings = append(findings, Finding{CheckSoftware, id, fmt.Sprintf("%s, in %d tries", strings.Join(software, ", then "), len(tries))})
		}
	}
	if len(findings) <= maxMixedStreams {
		return nil
	}
	slices.SortFunc(findings, func(a, b Finding) int { return strings.Compare(a.Request, b.Request) })
	return findings
}

// checkGoesOn finds that fewer streams go on where their callers take them up than the platform demands.
func checkGoesOn(r *Record) []Finding {
	count := CountTakenUp(r)
	if count.goesOnEnough() {
		return nil
	}
	return []Finding{{Check: CheckGoesOn, Text: fmt.Sprintf("%d of %d, and %d of %d new ones began", count.GoneOn, count.Streams, count.Begun, count.New)}}
}
