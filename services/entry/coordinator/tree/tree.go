// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tree

import (
	"cmp"
	"hash/fnv"
	"net/netip"
	"slices"
)

// GroupSize is the number of instances per gatherer, and the size up to which a fleet needs no gatherers. Larger groups mean fewer
// messages for the planner and more for each gatherer. The value equals the size of a fleet up to which the intervals of reports to
// the planner are not stretched.
const GroupSize = 16

// Instance is the part of an instance's description that the rules use.
type Instance struct {
	// Name is unique in the fleet.
	Name string
	Hall string
	// Address is the address for peers.
	Address netip.AddrPort
	// LinkRate is the capacity of the network link of the instance in bytes per second; 0 if unknown.
	LinkRate int
}

// Gatherers returns the instances that gather. In each hall there is one for each GroupSize instances or part of it: those with the
// best links and, among equal links, those with the lowest hash of the name. A fleet of at most GroupSize instances needs none.
func Gatherers(instances []Instance) []Instance {
	if len(instances) <= GroupSize {
		return nil
	}
	halls := make(map[string][]Instance)
	for _, instance := range instances {
		halls[instance.Hall] = append(halls[instance.Hall], instance)
	}
	var gatherers []Instance
	for _, members := range halls {
		slices.SortFunc(members, func(a, b Instance) int {
			return cmp.Or(cmp.Compare(b.LinkRate, a.LinkRate), cmp.Compare(weight(a.Name, ""), weight(b.Name, "")), cmp.Compare(a.Name, b.Name))
		})
		gatherers = append(gatherers, members[:(len(members)+GroupSize-1)/GroupSize]...)
	}
	slices.SortFunc(gatherers, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return gatherers
}

// GathererOf returns the gatherer of the instance with a name and hall. A gatherer serves itself; for any other instance it is,
// among the gatherers of the hall except those to avoid, the one with the highest hash of both names (rendezvous hashing).
// GathererOf returns false if there is none. When a gatherer is added or removed, only the instances of its own group move.
func GathererOf(name, hall string, gatherers []Instance, avoid func(gatherer string) bool) (Instance, bool) {
	var best Instance
	for _, instance := range gatherers {
		if instance.Hall != hall || avoid(instance.Name) {
			continue
		}
		if instance.Name == name {
			return instance, true
		}
		if best.Name == "" || weight(name, instance.Name) > weight(name, best.Name) {
			best = instance
		}
	}
	return best, best.Name != ""
}

// weight returns a hash of two names.
func weight(instance, other string) uint64 {
	hash := fnv.New64a()
	// Write of a hash never fails.
	_, _ = hash.Write([]byte(instance))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(other))
	return mix(hash.Sum64())
}

// mix spreads the bits of the hash. The hash alone hardly differs for names that differ only in their last letters. The constants
// are those of the MurmurHash3 finalizer.
func mix(bits uint64) uint64 {
	const first, second, shift = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53, 33
	bits = (bits ^ bits>>shift) * first
	bits = (bits ^ bits>>shift) * second
	return bits ^ bits>>shift
}
