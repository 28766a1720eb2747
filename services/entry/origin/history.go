// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package origin

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxServices bounds the services of a history. A higher value serves larger configurations, a lower one takes less memory.
	maxServices = 4096
	// maxSoftwares bounds the softwares that a history knows of one service. Two are enough to see that there are several; a higher value
	// keeps that known for longer while many replace each other, a lower one takes less memory.
	maxSoftwares = 16
)

// Sighting states when a software of a service was last known to serve.
type Sighting struct {
	Origin Origin
	// Age is the time since then; 0 if it serves at present.
	Age time.Duration
	// WasSole is set if an instance that knew of all softwares knew no other one of the service, so that streams began there without a statement.
	WasSole bool
}

// History keeps which softwares of which services have been known within MaxLifetime.
type History struct {
	// since is when the unbroken observation of the endpoints began; zero if it is interrupted.
	since time.Time
	// services has the sightings by service and software.
	services map[string]map[string]sighting
}

// sighting is when a software was last known, or that it serves at present.
type sighting struct {
	lastAt  time.Time
	present bool
	wasSole bool
}

// NewHistory returns a history of nothing.
func NewHistory() *History {
	return &History{services: make(map[string]map[string]sighting)}
}

// Observe records which softwares serve at present, by service. Those that are not named have served until now.
func (h *History) Observe(now time.Time, present map[string][]string) {
	if h.since.IsZero() {
		h.since = now
	}
	h.endPresence(now)
	for service, softwares := range present {
		for _, software := range softwares {
			wasSole := h.services[service][software].wasSole
			h.add(Origin{Service: service, Software: software}, sighting{lastAt: now, present: true, wasSole: wasSole})
		}
	}
}

// endPresence records that nothing serves any more.
func (h *History) endPresence(now time.Time) {
	for _, softwares := range h.services {
		for software, seen := range softwares {
			if seen.present {
				softwares[software] = sighting{lastAt: now, wasSole: seen.wasSole}
			}
		}
	}
}

// Interrupt records that this instance cannot observe the endpoints at present, so that softwares may come and leave unseen.
func (h *History) Interrupt() {
	h.since = time.Time{}
}

// Learn records a sighting of another instance. It proves nothing about other softwares.
func (h *History) Learn(now time.Time, learned Sighting) {
	if learned.Age < 0 || learned.Age >= MaxLifetime {
		return
	}
	lastAt := now.Add(-learned.Age)
	known, exists := h.services[learned.Origin.Service][learned.Origin.Software]
	if exists && learned.WasSole && !known.wasSole {
		known.wasSole = true
		h.services[learned.Origin.Service][learned.Origin.Software] = known
	}
	if exists && (known.present || !lastAt.After(known.lastAt)) {
		return
	}
	h.add(learned.Origin, sighting{lastAt: lastAt, wasSole: learned.WasSole || known.wasSole})
}

// MarkSole records that streams may begin without a statement at the only software of a service. It reports false if several are known, or none.
func (h *History) MarkSole(now time.Time, service string) bool {
	known := h.Known(now, []string{service}, MaxLifetime)
	if len(known) != 1 {
		return false
	}
	software := known[0].Origin.Software
	seen := h.services[service][software]
	seen.wasSole = true
	h.services[service][software] = seen
	return true
}

// add sets a sighting. It removes the oldest software of the service if there are too many.
func (h *History) add(seen Origin, added sighting) {
	softwares, exists := h.services[seen.Service]
	if !exists {
		if len(h.services) >= maxServices {
			return
		}
		softwares = make(map[string]sighting)
		h.services[seen.Service] = softwares
	}
	if _, exists := softwares[seen.Software]; !exists && len(softwares) >= maxSoftwares {
		delete(softwares, oldest(softwares))
	}
	softwares[seen.Software] = added
}

// oldest returns the software that was known for the last time before all others.
func oldest(softwares map[string]sighting) string {
	var found string
	var foundAt time.Time
	for software, seen := range softwares {
		if foundAt.IsZero() || seen.lastAt.Before(foundAt) {
			found, foundAt = software, seen.lastAt
		}
	}
	return found
}

// Known returns the softwares of some services that have been known within a window, sorted.
func (h *History) Known(now time.Time, services []string, window time.Duration) []Sighting {
	var known []Sighting
	for _, service := range services {
		for software, seen := range h.services[service] {
			age := seen.age(now)
			if age < window {
				known = append(known, Sighting{Origin: Origin{Service: service, Software: software}, Age: age, WasSole: seen.wasSole})
			}
		}
	}
	slices.SortFunc(known, compareSightings)
	return known
}

// All returns the softwares of all services that have been known within MaxLifetime, sorted.
func (h *History) All(now time.Time) []Sighting {
	return h.Known(now, h.Services(), MaxLifetime)
}

// Services returns the services that have softwares, sorted.
func (h *History) Services() []string {
	return slices.Sorted(maps.Keys(h.services))
}

// age returns the time since the software was last known.
func (s sighting) age(now time.Time) time.Duration {
	if s.present {
		return 0
	}
	return max(now.Sub(s.lastAt), 0)
}

// compareSightings compares by service, then by software.
func compareSightings(a, b Sighting) int {
	return cmp.Or(cmp.Compare(a.Origin.Service, b.Origin.Service), cmp.Compare(a.Origin.Software, b.Origin.Software))
}

// IsProven reports whether the endpoints have been observed without interruption for a whole window.
func (h *History) IsProven(now time.Time, window time.Duration) bool {
	return !h.since.IsZero() && now.Sub(h.since) >= window
}

// HasSeveral reports whether several softwares of a service have been known within MaxLifetime.
func (h *History) HasSeveral(now time.Time, service string) bool {
	softwares := h.services[service]
	if len(softwares) < minSeveral {
		return false
	}
	count := 0
	for _, seen := range softwares {
		if seen.age(now) < MaxLifetime {
			count++
		}
	}
	return count >= minSeveral
}

// minSeveral is the lowest number that is several.
const minSeveral = 2

// Sweep removes the softwares that have not been known for MaxLifetime.
func (h *History) Sweep(now time.Time) {
	for service, softwares := range h.services {
		for software, seen := range softwares {
			if seen.age(now) >= MaxLifetime {
				delete(softwares, software)
			}
		}
		if len(softwares) == 0 {
			delete(h.services, service)
		}
	}
}
