// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package origin

import "net/netip"

// Verdict is what is known about a stream that is taken up.
type Verdict int

// The verdicts. Unknown and Ambiguous allow no endpoint.
const (
	// Unknown means that no instance that was reached knows where the stream began.
	Unknown Verdict = iota
	// Known means that the stream began at the origin.
	Known
	// SoleSoftware means that the origin is the only one that this instance and those that answered know at all.
	SoleSoftware
	// Unrestricted means that only one software has served for as long as the stream can have existed.
	Unrestricted
	// OnlyPossible means that the stream can have begun at no other origin, since those who used the others did not begin it.
	OnlyPossible
	// Ambiguous means that different origins are known for the same key.
	Ambiguous
)

// Result is a verdict, and the origin for all but Unknown and Ambiguous.
type Result struct {
	Verdict Verdict
	Origin  Origin
}

// Answer is what another instance knows about a stream.
type Answer struct {
	// From is the address of the instance.
	From netip.AddrPort
	// Found is Known, Ambiguous or Unknown.
	Found Result
	// Sightings are the softwares of the services in question that the instance knows.
	Sightings []Sighting
	// Complete is set if the instance has read the archive since it started, and has observed the endpoints since.
	Complete bool
	// Process is the number of the instance's process, and 0 if that may have begun the stream and forgotten it.
	Process uint64
	// Uses are those of others that it was told since the archive may lack them. LacksUses is set if there may be more.
	Uses      []Use
	LacksUses bool
	// HasLost is set if an instance was in its list of instances lately and is gone.
	HasLost bool
}

// DecideLocally decides from what this instance knows itself: what its table has, which softwares have been known within the window, and
// whether they were observed for all of it. It reports false if other instances have to be asked.
func DecideLocally(found Result, known []Sighting, proven bool) (Result, bool) {
	switch {
	case found.Verdict != Unknown:
		return found, true
	case proven && len(known) == 1:
		return Result{Verdict: Unrestricted, Origin: known[0].Origin}, true
	default:
		return Result{Verdict: Unknown}, false
	}
}

// Decide decides from the answers of other instances and the softwares that this one knows, all of them known within the window. Complete is set if
// this instance has read the archive since it started, and has observed the endpoints since. A software is taken for the only one only if an
// instance has: the others may all have started after another software left, or be cut off from where another one serves.
func Decide(known []Sighting, complete bool, answers []Answer) Result {
	found := Result{Verdict: Unknown}
	for _, answer := range answers {
		found = combine(found, answer.Found)
	}
	if found.Verdict != Unknown {
		return found
	}
	for _, answer := range answers {
		complete = complete || answer.Complete
	}
	if !complete {
		return found
	}
	return decideSole(known, answers)
}

// combine returns what two instances know together.
func combine(one, other Result) Result {
	switch {
	case one.Verdict == Unknown:
		return other
	case other.Verdict == Unknown, one == other:
		return one
	default:
		return Result{Verdict: Ambiguous}
	}
}

// decideSole decides about a stream whose origin nobody knows: it is plain if only one is known at all.
func decideSole(known []Sighting, answers []Answer) Result {
	origins := make(map[Origin]bool)
	for _, seen := range known {
		origins[seen.Origin] = true
	}
	for _, answer := range answers {
		for _, seen := range answer.Sightings {
			origins[seen.Origin] = true
		}
	}
	if len(origins) != 1 {
		return Result{Verdict: Unknown}
	}
	for sole := range origins {
		return Result{Verdict: SoleSoftware, Origin: sole}
	}
	return Result{Verdict: Unknown}
}
