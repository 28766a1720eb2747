// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
)

// arrival is a request that arrived at an endpoint from an instance.
type arrival struct {
	platformstandin.RunEvent

	instance string
	// sent is when its caller sent it.
	sent time.Time
}

// history is what one endpoint's requests saw of what it says, in the order of their moments.
type history struct {
	endpoint string
	arrived  []arrival
	told     []arrival
}

// histories gives what each endpoint's requests saw. Requests whose attempt is not in the record are left out.
func (r *Record) histories() []*history {
	attempts := make(map[string]Attempt, len(r.Attempts))
	for _, a := range r.Attempts {
		attempts[a.ID] = a
	}
	byEndpoint := make(map[string]*history)
	for _, event := range r.Notices {
		attempt, known := attempts[event.ID]
		if !known {
			continue
		}
		one := byEndpoint[event.Endpoint]
		if one == nil {
			one = &history{endpoint: event.Endpoint}
			byEndpoint[event.Endpoint] = one
		}
		seen := arrival{RunEvent: event, instance: attempt.Instance, sent: attempt.Began}
		if event.Phase == platformstandin.RunNoticeReceived {
			one.told = append(one.told, seen)
		} else {
			one.arrived = append(one.arrived, seen)
		}
	}
	var all []*history
	for _, one := range byEndpoint {
		slices.SortFunc(one.arrived, func(a, b arrival) int { return a.At.Compare(b.At) })
		slices.SortFunc(one.told, func(a, b arrival) int { return a.At.Compare(b.At) })
		all = append(all, one)
	}
	slices.SortFunc(all, func(a, b *history) int { return cmp.Compare(a.endpoint, b.endpoint) })
	return all
}

// firstTold is when an instance was first told, from a moment on, what the function asks for; false for never.
func (h *history) firstTold(instance string, from time.Time, said func(platformstandin.Notice) bool) (time.Time, bool) {
	for _, one := range h.told {
		if one.instance == instance && !one.At.Before(from) && said(one.SentNotice) {
			return one.At, true
		}
	}
	return time.Time{}, false
}

// checkLeaving finds requests at endpoints that had told their instance that they leave.
func checkLeaving(r *Record) []Finding {
	leaves := func(said platformstandin.Notice) bool { return said.Leaving }
	var findings []Finding
	for _, s := range r.histories() {
		for _, one := range s.arrived {
			told, ok := s.firstTold(one.instance, time.Time{}, leaves)
			if !ok || r.struck(one.instance, told, one.At, Stop, Kill, Freeze) {
				continue
			}
			if late := one.sent.Sub(told); late > r.Bounds.Drain+r.lag(told, one.At) {
				findings = append(findings, Finding{CheckLeaving, one.ID, fmt.Sprintf("sent to %s by %s %s after it was told", s.endpoint, one.instance, late)})
			}
		}
	}
	return findings
}

// checkRest finds requests within rests that endpoints asked their instance for.
func checkRest(r *Record) []Finding {
	var findings []Finding
	for _, s := range r.histories() {
		for _, asked := range s.told {
			seconds, err := strconv.ParseFloat(asked.SentNotice.Rest, 64)
			if err != nil {
				// It asked for none.
				continue
			}
			from, until := asked.At.Add(r.Bounds.Heard), asked.At.Add(time.Duration(seconds*float64(time.Second)))
			count := 0
			for _, one := range s.arrived {
				within := one.At.After(from.Add(r.lag(asked.At, one.At))) && one.At.Before(until)
				if within && one.instance == asked.instance && !r.struck(one.instance, asked.At, one.At, Stop, Kill, Freeze, LinkBroken) {
					count++
				}
			}
			if count > r.Bounds.RestRequests {
				findings = append(findings, Finding{CheckRest, asked.ID, fmt.Sprintf("%s got %d requests of %s within %s s", s.endpoint, count, asked.instance, asked.SentNotice.Rest)})
			}
		}
	}
	return findings
}

// checkLimit finds spans in which endpoints got more than the limit that they named allows.
func checkLimit(r *Record) []Finding {
	var findings []Finding
	for _, s := range r.histories() {
		for _, episode := range s.episodes() {
			findings = append(findings, r.checkEpisode(s, episode)...)
		}
	}
	return findings
}

// episodes gives the stretches of arrivals that were told one limit.
func (h *history) episodes() [][]arrival {
	var all [][]arrival
	for i, one := range h.arrived {
		switch {
		case one.SentNotice.Limit == "":
		case i > 0 && h.arrived[i-1].SentNotice.Limit == one.SentNotice.Limit:
			all[len(all)-1] = append(all[len(all)-1], one)
		default:
			all = append(all, []arrival{one})
		}
	}
	return all
}

// checkEpisode counts the requests of instances that had been told a limit, in each span that ends with one of them.
func (r *Record) checkEpisode(h *history, episode []arrival) []Finding {
	limit, err := strconv.ParseFloat(episode[0].SentNotice.Limit, 64)
	if err != nil {
		return []Finding{{CheckLimit, episode[0].ID, "not a limit: " + episode[0].SentNotice.Limit}}
	}
	begin := episode[0].At
	binds := begin.Add(r.Bounds.Contact)
	allowed := int(r.Bounds.LimitSlack*limit*r.Bounds.LimitSpan.Seconds()) + r.Bounds.LimitExtra
	var counted []arrival
	for _, one := range episode {
		if one.At.Before(binds) || !r.knewLimit(h, one, begin) {
			continue
		}
		counted = slices.DeleteFunc(append(counted, one), func(other arrival) bool { return one.At.Sub(other.At) >= r.Bounds.LimitSpan })
		if len(counted) > allowed {
			return []Finding{{CheckLimit, one.ID, fmt.Sprintf("%s got %d requests in %s with a limit of %g a second, allowed %d",
				h.endpoint, len(counted), r.Bounds.LimitSpan, limit, allowed)}}
		}
	}
	return nil
}

// knewLimit reports whether an instance had been told a limit for long enough before an arrival, and nothing struck it since.
func (r *Record) knewLimit(h *history, one arrival, begin time.Time) bool {
	told, ok := h.firstTold(one.instance, begin, func(said platformstandin.Notice) bool { return said.Limit != "" })
	if !ok || one.At.Sub(told) < r.Bounds.Heard+r.lag(told, one.At) {
		return false
	}
	return !r.struck(one.instance, told.Add(-r.Bounds.Contact), one.At, Stop, Kill, Freeze, LinkBroken)
}
