// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package origin

import (
	"net/netip"
	"slices"
)

// User is a process that begins streams.
type User struct {
	// Process is the number that the process chose at its start.
	Process uint64
	// Address is where it answers questions; not valid if it answers none.
	Address netip.AddrPort
}

// Any is the origin of a use of more softwares than a process can state one by one.
var Any = Origin{}

// Use states that a process begins streams at an origin, or may.
type Use struct {
	User
	Origin Origin
}

// FindRemaining decides about a stream that none of some processes began. It is plain if all who used the known softwares, but for one of these,
// are among them: the stream can then have begun at that one only. Each process states its use before it begins a stream, unless the software is
// the only one, and those that are gone don't answer for what they began. Lost is set if an instance is known to be gone, which may have stated nothing.
func FindRemaining(known []Sighting, uses []Use, denied map[uint64]bool, lost bool) Result {
	if mayLackSoftwares(known) {
		return Result{Verdict: Unknown}
	}
	if !lost && !hasOthers(uses, denied) {
		// Nobody who may have begun the stream is gone.
		return Result{Verdict: Unknown}
	}
	possible := possibleOrigins(known, uses, denied)
	if len(possible) != 1 {
		return Result{Verdict: Unknown}
	}
	return Result{Verdict: OnlyPossible, Origin: possible[0]}
}

// hasOthers reports whether processes use softwares, or may, that did not deny to have begun the stream.
func hasOthers(uses []Use, denied map[uint64]bool) bool {
	return slices.ContainsFunc(uses, func(use Use) bool { return !denied[use.Process] })
}

// possibleOrigins returns the known origins at which a stream can have begun that the processes in denied did not begin.
func possibleOrigins(known []Sighting, uses []Use, denied map[uint64]bool) []Origin {
	used := make(map[Origin]bool)
	for _, use := range uses {
		if !denied[use.Process] {
			used[use.Origin] = true
		}
	}
	var possible []Origin
	for _, seen := range known {
		if (seen.WasSole || used[Any] || used[seen.Origin]) && !slices.Contains(possible, seen.Origin) {
			possible = append(possible, seen.Origin)
		}
	}
	return possible
}

// mayLackSoftwares reports whether a history may have forgotten a software of a service, since as many came after it as it keeps.
func mayLackSoftwares(known []Sighting) bool {
	softwares := make(map[string]map[string]bool)
	for _, seen := range known {
		service := seen.Origin.Service
		if softwares[service] == nil {
			softwares[service] = make(map[string]bool)
		}
		softwares[service][seen.Origin.Software] = true
		if len(softwares[service]) >= maxSoftwares {
			return true
		}
	}
	return false
}
