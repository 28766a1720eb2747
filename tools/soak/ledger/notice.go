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

// noticedRequest is a request at an endpoint that sends notices, together with its instance.
type noticedRequest struct {
	platformstandin.RunEvent

	instance string
	// sent is when the caller sent the request.
	sent time.Time
}

// history holds the requests that arrived at one endpoint and those whose answers carried its notice, each in order of time.
type history struct {
	endpoint string
	arrived  []noticedRequest
	notified []noticedRequest
}

// histories returns the history of each endpoint that sent notices, ordered by endpoint. Requests whose attempt is not in the record
// are left out.
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
		seen := noticedRequest{RunEvent: event, instance: attempt.Instance, sent: attempt.Began}
		if event.Phase == platformstandin.RunNoticeReceived {
			one.notified = append(one.notified, seen)
		} else {
			one.arrived = append(one.arrived, seen)
		}
	}
	var all []*history
	for _, one := range byEndpoint {
		slices.SortFunc(one.arrived, func(a, b noticedRequest) int { return a.At.Compare(b.At) })
		slices.SortFunc(one.notified, func(a, b noticedRequest) int { return a.At.Compare(b.At) })
		all = append(all, one)
	}
	slices.SortFunc(all, func(a, b *history) int { return cmp.Compare(a.endpoint, b.endpoint) })
	return all
}

// firstNotified returns when an instance first received, at or after from, a notice that the function matches. It returns false if the
// instance received none.
func (h *history) firstNotified(instance string, from time.Time, match func(platformstandin.Notice) bool) (time.Time, bool) {
	for _, one := range h.notified {
		if one.instance == instance && !one.At.Before(from) && match(one.SentNotice) {
			return one.At, true
		}
	}
	return time.Time{}, false
}

// checkLeaving finds requests at endpoints that had notified the instance of the request that they leave.
func checkLeaving(r *Record) []Finding {
	leaves := func(notice platformstandin.Notice) bool { return notice.Leaving }
	var findings []Finding
	for _, s := range r.histories() {
		for _, one := range s.arrived {
			notifiedAt, ok := s.firstNotified(one.instance, time.Time{}, leaves)
			if !ok || r.disrupted(one.instance, notifiedAt, one.At, Stop, Kill, Freeze) {
				continue
			}
			if late := one.sent.Sub(notifiedAt); late > r.Bounds.Drain+r.lag(notifiedAt, one.At) {
				findings = append(findings, Finding{CheckLeaving, one.ID, fmt.Sprintf("sent to %s by %s %s after it was told", s.endpoint, one.instance, late)})
			}
		}
	}
	return findings
}

// checkRest finds endpoints that got more requests than allowed within a rest that they had asked the instance for.
func checkRest(r *Record) []Finding {
	var findings []Finding
	for _, s := range r.histories() {
		for _, asked := range s.notified {
			seconds, err := strconv.ParseFloat(asked.SentNotice.Rest, 64)
			if err != nil {
				// The notice asks for no rest.
				continue
			}
			from, until := asked.At.Add(r.Bounds.NoticeApply), asked.At.Add(time.Duration(seconds*float64(time.Second)))
			count := 0
			for _, one := range s.arrived {
				within := one.At.After(from.Add(r.lag(asked.At, one.At))) && one.At.Before(until)
				if within && one.instance == asked.instance && !r.disrupted(one.instance, asked.At, one.At, Stop, Kill, Freeze, LinkBroken) {
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

// checkLimit finds spans in which an endpoint got more requests than the limit that it announced allows.
func checkLimit(r *Record) []Finding {
	var findings []Finding
	for _, s := range r.histories() {
		for _, episode := range s.episodes() {
			findings = append(findings, r.checkEpisode(s, episode)...)
		}
	}
	return findings
}

// episodes returns the runs of consecutive arrivals during which the endpoint announced the same limit.
func (h *history) episodes() [][]noticedRequest {
	var all [][]noticedRequest
	for i, one := range h.arrived {
		switch {
		case one.SentNotice.Limit == "":
		case i > 0 && h.arrived[i-1].SentNotice.Limit == one.SentNotice.Limit:
			all[len(all)-1] = append(all[len(all)-1], one)
		default:
			all = append(all, []noticedRequest{one})
		}
	}
	return all
}

// checkEpisode counts the requests from instances that had received the limit, in each LimitSpan that ends with such a request. It
// reports the first span with more requests than allowed.
func (r *Record) checkEpisode(h *history, episode []noticedRequest) []Finding {
	limit, err := strconv.ParseFloat(episode[0].SentNotice.Limit, 64)
	if err != nil {
		return []Finding{{CheckLimit, episode[0].ID, "not a limit: " + episode[0].SentNotice.Limit}}
	}
	begin := episode[0].At
	binds := begin.Add(r.Bounds.Contact)
	allowed := int(r.Bounds.LimitSlack*limit*r.Bounds.LimitSpan.Seconds()) + r.Bounds.LimitExtra
	var counted []noticedRequest
	for _, one := range episode {
		if one.At.Before(binds) || !r.limitReceived(h, one, begin) {
			continue
		}
		counted = slices.DeleteFunc(append(counted, one), func(other noticedRequest) bool { return one.At.Sub(other.At) >= r.Bounds.LimitSpan })
		if len(counted) > allowed {
			return []Finding{{CheckLimit, one.ID, fmt.Sprintf("%s got %d requests in %s with a limit of %g a second, allowed %d",
				h.endpoint, len(counted), r.Bounds.LimitSpan, limit, allowed)}}
		}
	}
	return nil
}

// limitReceived reports whether the instance had received a limit long enough before an arrival and was not disrupted since.
func (r *Record) limitReceived(h *history, one noticedRequest, begin time.Time) bool {
	notifiedAt, ok := h.firstNotified(one.instance, begin, func(notice platformstandin.Notice) bool { return notice.Limit != "" })
	if !ok || one.At.Sub(notifiedAt) < r.Bounds.NoticeApply+r.lag(notifiedAt, one.At) {
		return false
	}
	return !r.disrupted(one.instance, notifiedAt.Add(-r.Bounds.Contact), one.At, Stop, Kill, Freeze, LinkBroken)
}
