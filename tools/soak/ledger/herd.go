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
	// minHerdLead is how long before a herd kill a stream must have begun to count.
	minHerdLead = 500 * time.Millisecond
	// minHerdGoingOn is the least share of the streams that go on after a herd kill. It is judged from minTakenUp streams on.
	minHerdGoingOn = 0.97
	// unknownOrigin is the body of the refusal of a stream of which no instance knows where it began.
	unknownOrigin = "beginning of the stream unknown"
)

// AfterHerds counts the streams that were under way when several instances were killed at once, a stream once for each such kill.
type AfterHerds struct {
	// Kills is how many herd kills there were.
	Kills int
	// TakenUp is how many streams were taken up after one. Streams is how many of them began long enough before, while enough endpoints of
	// their software version served and neither the store nor their later instances had other trouble, and GoneOn how many of these went on.
	TakenUp, Streams, GoneOn int
	// Unknown is how many of the streams taken up were refused as unknown, and never went on; Mixed is how many streams got events of another
	// software version after a herd kill.
	Unknown, Mixed int
}

// String returns the counts as text of the summary of a run. It is empty without herd kills.
func (c AfterHerds) String() string {
	if c.Kills == 0 {
		return ""
	}
	return fmt.Sprintf("; %d herd kills: %d streams of before taken up, of %d of them with endpoints of their version %d went on, %d refused as unknown, %d of two software versions",
		c.Kills, c.TakenUp, c.Streams, c.GoneOn, c.Unknown, c.Mixed)
}

// herds returns the herd kills in order of time.
func (r *Record) herds() []Disruption {
	var herds []Disruption
	for _, d := range r.Disruptions {
		if d.Fault == HerdKill {
			herds = append(herds, d)
		}
	}
	slices.SortFunc(herds, func(a, b Disruption) int { return a.From.Compare(b.From) })
	return herds
}

// takeUp is a stream that was under way when several instances were killed at once, and taken up after that.
type takeUp struct {
	herd Disruption
	// former are the tries before the kill, and again those after it, up to the one that brings an event.
	former, again []Attempt
}

// takeUps returns the streams that were taken up after each herd kill, in order of time. Tries that got no answer since their instance was killed
// take nothing up.
func (r *Record) takeUps() []takeUp {
	var all []takeUp
	streams := r.triesByStream()
	herds := r.herds()
	for i, herd := range herds {
		for _, tries := range streams {
			first := slices.IndexFunc(tries, func(a Attempt) bool { return a.Began.After(herd.From) })
			if first < 1 || len(softwareOf(tries[:first])) == 0 || isPending(tries[:first], herds[:i]) {
				continue
			}
			one := takeUp{herd: herd, former: tries[:first], again: tries[first:]}
			if last := slices.IndexFunc(one.again, func(a Attempt) bool { return a.Events > 0 }); last >= 0 {
				one.again = one.again[:last+1]
			}
			if slices.ContainsFunc(one.again, r.answered) {
				all = append(all, one)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b takeUp) int { return a.again[0].Began.Compare(b.again[0].Began) })
	return all
}

// isPending reports whether a stream got no event any more from one of the former herd kills on.
func isPending(tries []Attempt, former []Disruption) bool {
	var last Attempt
	for _, a := range tries {
		if a.Events > 0 {
			last = a
		}
	}
	return slices.ContainsFunc(former, func(herd Disruption) bool {
		return last.Began.Before(herd.From) && tries[len(tries)-1].Began.After(herd.From)
	})
}

// answered reports whether an attempt reached an instance that was not being killed.
func (r *Record) answered(a Attempt) bool {
	return a.Instance != "" && (a.Status != 0 || !r.disrupted(a.Instance, a.Began, a.Ended, Kill))
}

// wentOn reports whether the stream got another event.
func (t takeUp) wentOn() bool {
	return t.last().Events > 0
}

// last returns the last of the tries after the kill.
func (t takeUp) last() Attempt {
	return t.again[len(t.again)-1]
}

// CountAfterHerds counts the streams that were under way when several instances were killed at once.
func CountAfterHerds(r *Record) AfterHerds {
	count := AfterHerds{Kills: len(r.herds()), Mixed: len(checkHerdMixed(r))}
	byRequest := r.runsByRequest()
	for _, t := range r.takeUps() {
		count.TakenUp++
		if !t.wentOn() && slices.ContainsFunc(t.again, Attempt.refusedAsUnknown) {
			count.Unknown++
		}
		if !r.binds(t, byRequest) {
			continue
		}
		count.Streams++
		if t.wentOn() {
			count.GoneOn++
		}
	}
	return count
}

// refusedAsUnknown reports whether an attempt was refused because nobody knew where its stream began.
func (a Attempt) refusedAsUnknown() bool {
	return a.Outcome == Refused && a.Cause == unknownOrigin
}

// binds reports whether a stream that is taken up after a herd kill has to go on.
func (r *Record) binds(t takeUp, byRequest map[string]*runs) bool {
	began := slices.IndexFunc(t.former, func(a Attempt) bool { return a.Events > 0 })
	run := byRequest[t.former[began].ID]
	if run == nil || len(run.began) == 0 || t.herd.From.Sub(run.began[0].At) < minHerdLead {
		return false
	}
	ended := t.last().Ended
	if r.serving(softwareOf(t.former)[0], t.again[0].Began, ended) < minServing || r.disrupted("", t.herd.From.Add(-contact), ended, StoreFault) {
		return false
	}
	return !slices.ContainsFunc(t.again, func(a Attempt) bool {
		return r.disrupted(a.Instance, t.herd.From.Add(-contact), a.Ended, Stop, Freeze, LinkBroken, StoreFault) || !t.wentOn() && r.killedAgain(a, t.herd)
	})
}

// killedAgain reports whether the instance of an attempt was killed between a herd kill and the end of the attempt.
func (r *Record) killedAgain(a Attempt, herd Disruption) bool {
	return slices.ContainsFunc(r.Disruptions, func(d Disruption) bool {
		return d.Fault == Kill && d.Target == a.Instance && d.From.After(herd.To) && !d.From.After(a.Ended)
	})
}

// checkHerdMixed finds streams that got events of another software version in a try that began after a herd kill.
func checkHerdMixed(r *Record) []Finding {
	herds := r.herds()
	if len(herds) == 0 {
		return nil
	}
	var findings []Finding
	for id, tries := range r.triesByStream() {
		for i, a := range tries {
			software := softwareOf(tries[:i+1])
			if a.Began.Before(herds[0].From) || len(software) < 2 || len(software) == len(softwareOf(tries[:i])) {
				continue
			}
			findings = append(findings, Finding{CheckHerdMixed, id, fmt.Sprintf("%s, by try %d of %d, %s", strings.Join(software, ", then "), i+1, len(tries), a.ID)})
			break
		}
	}
	slices.SortFunc(findings, func(a, b Finding) int { return strings.Compare(a.Request, b.Request) })
	return findings
}

// checkHerdGoesOn finds the streams that do not go on after herd kills, if they are more than the users allow.
func checkHerdGoesOn(r *Record) []Finding {
	count := CountAfterHerds(r)
	if count.Streams < minTakenUp || float64(count.GoneOn) >= minHerdGoingOn*float64(count.Streams) {
		return nil
	}
	var findings []Finding
	byRequest := r.runsByRequest()
	for _, t := range r.takeUps() {
		if t.wentOn() || !r.binds(t, byRequest) {
			continue
		}
		text := fmt.Sprintf("%d of %d; %s of %s ended as %s: %s", count.GoneOn, count.Streams, t.former[0].Stream, softwareOf(t.former)[0], t.last().Outcome, t.last().Cause)
		findings = append(findings, Finding{CheckHerdGoesOn, t.last().ID, text})
	}
	return findings
}

// checkHerdUnknown finds attempts that were refused because nobody knew where their stream began, and that ran.
func checkHerdUnknown(r *Record) []Finding {
	var findings []Finding
	byRequest := r.runsByRequest()
	for _, a := range r.Attempts {
		if run := byRequest[a.ID]; a.refusedAsUnknown() && run != nil && len(run.began) > 0 {
			findings = append(findings, Finding{CheckHerdUnknown, a.ID, fmt.Sprintf("%d at %s, but it ran at %s", a.Status, a.Instance, run.began[0].Endpoint)})
		}
	}
	return findings
}
