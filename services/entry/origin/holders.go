// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package origin

import (
	"cmp"
	"hash/fnv"
	"net/netip"
	"slices"
)

const (
	// toldInstances is how many instances are told an origin, in different halls if there are several. A higher value survives the loss of
	// more instances, a lower one sends less.
	toldInstances = 2
	// toldOwnHall is how many instances of the own hall are told, for a hall that is cut off. A higher value survives the loss of more of
	// them, a lower one sends less.
	toldOwnHall = 1
	// askedDepth bounds the depth of the instances that are asked. It is one above the depth of those that are told, and each further one
	// allows for another change of the list of instances; a lower value sends less.
	askedDepth = 2
	// archiverKey is the key by which the instances that write into the archive are chosen.
	archiverKey Key = 0
	// instancesPerArchiver is the number of instances of the list of which one writes into the archive. A higher value writes to the store less
	// often, a lower one spreads the records over more instances.
	instancesPerArchiver = 16
	// softwareWriters is how many instances write which softwares served. A higher value survives more of them that do not reach the store, a
	// lower one writes less.
	softwareWriters = 3
	// askedOwnHall is how many instances of the own hall are asked: one more than are told.
	askedOwnHall = 2
)

// Instance is an instance that can be told and asked.
type Instance struct {
	Hall    string
	Address netip.AddrPort
}

// Holders chooses the instances that are told and asked about a stream. It never changes.
type Holders struct {
	self    Instance
	members []member
	halls   int
	// archivers write into the archive, each a share of the streams.
	archivers []netip.AddrPort
	// statesSoftwares is set if this instance writes the softwares.
	statesSoftwares bool
}

// member is an instance of the list. The fields below the hall are set for a key.
type member struct {
	Instance
	// seed is the hash of the address, hall the number of the hall.
	seed uint64
	hall int
	// hash is the rendezvous hash of the instance and the key.
	hash uint64
	// position is the number of instances of the same hall with a higher hash.
	position int
	// depth is the position plus the number of halls whose best instance has a higher hash than the best one of this hall. It changes by
	// one at most when one instance joins the list or leaves it.
	depth int
}

// NewHolders returns the choice from a list of instances, which may include this one.
func NewHolders(self Instance, list []Instance) *Holders {
	h := &Holders{self: self, members: make([]member, 0, len(list))}
	halls := make(map[string]int)
	for _, instance := range list {
		if _, exists := halls[instance.Hall]; !exists {
			halls[instance.Hall] = len(halls)
		}
		h.members = append(h.members, member{Instance: instance, seed: hashAddress(instance.Address), hall: halls[instance.Hall]})
	}
	h.halls = len(halls)
	h.archivers = h.chooseArchivers()
	h.statesSoftwares = slices.Contains(h.bestArchivers(softwareWriters), self.Address)
	return h
}

// hashAddress returns a hash of an address.
func hashAddress(address netip.AddrPort) uint64 {
	hash := fnv.New64a()
	// Write of a hash never fails.
	_, _ = hash.Write([]byte(address.String()))
	return hash.Sum64()
}

// Told returns the instances that are told about a stream that this one began.
func (h *Holders) Told(key Key) []netip.AddrPort {
	ranked := h.rank(key)
	told := make([]netip.AddrPort, 0, toldInstances+toldOwnHall)
	for _, instance := range ranked {
		if len(told) < toldInstances && instance.Address != h.self.Address {
			told = append(told, instance.Address)
		}
	}
	return h.addOwnHall(told, ranked, toldOwnHall)
}

// Asked returns the instances that are asked about a stream. Those of all halls are the same for all instances that ask.
func (h *Holders) Asked(key Key) []netip.AddrPort {
	ranked := h.rank(key)
	var asked []netip.AddrPort
	for _, instance := range ranked {
		if instance.depth <= askedDepth && instance.Address != h.self.Address {
			asked = append(asked, instance.Address)
		}
	}
	return h.addOwnHall(asked, ranked, askedOwnHall)
}

// Archiver returns the instance that writes a stream into the archive, the same for all instances with the same list. It returns false if the list
// is empty.
func (h *Holders) Archiver(key Key) (netip.AddrPort, bool) {
	if len(h.archivers) == 0 {
		return netip.AddrPort{}, false
	}
	return h.archivers[key%Key(len(h.archivers))], true
}

// IsArchiver reports whether this instance writes a share of the streams into the archive.
func (h *Holders) IsArchiver() bool {
	return slices.Contains(h.archivers, h.self.Address)
}

// chooseArchivers returns the instances that write into the archive.
func (h *Holders) chooseArchivers() []netip.AddrPort {
	if len(h.members) == 0 {
		return nil
	}
	return h.bestArchivers(max(len(h.members)/instancesPerArchiver, 1))
}

// bestArchivers returns the first instances in the order of the archive.
func (h *Holders) bestArchivers(count int) []netip.AddrPort {
	ranked := h.rank(archiverKey)
	best := make([]netip.AddrPort, 0, count)
	for _, instance := range ranked[:min(count, len(ranked))] {
		best = append(best, instance.Address)
	}
	return best
}

// StatesSoftwares reports whether this instance is one of those that write into the archive which softwares served lately.
func (h *Holders) StatesSoftwares() bool {
	return h.statesSoftwares
}

// addOwnHall adds the first instances of the own hall that are not chosen yet; those that are count.
func (h *Holders) addOwnHall(chosen []netip.AddrPort, ranked []member, count int) []netip.AddrPort {
	for _, instance := range ranked {
		if instance.Hall != h.self.Hall || instance.Address == h.self.Address {
			continue
		}
		if count == 0 {
			break
		}
		count--
		if !slices.Contains(chosen, instance.Address) {
			chosen = append(chosen, instance.Address)
		}
	}
	return chosen
}

// rank returns the instances in the order in which they hold a key: the best of each hall, then the second of each hall, and so on.
func (h *Holders) rank(key Key) []member {
	ranked := slices.Clone(h.members)
	for i := range ranked {
		ranked[i].hash = mix(ranked[i].seed ^ uint64(key))
	}
	slices.SortFunc(ranked, compareHashes)
	before := make([]int, h.halls)
	for i := range ranked {
		ranked[i].position = before[ranked[i].hall]
		before[ranked[i].hall]++
	}
	slices.SortStableFunc(ranked, comparePositions)
	setDepths(ranked, h.halls)
	return ranked
}

// compareHashes puts the highest hash first.
func compareHashes(a, b member) int {
	return cmp.Or(cmp.Compare(b.hash, a.hash), a.Address.Compare(b.Address))
}

// comparePositions puts the best instances of the halls first.
func comparePositions(a, b member) int {
	return cmp.Compare(a.position, b.position)
}

// setDepths sets the depths. The best instance of each hall comes first, which gives the order of the halls.
func setDepths(ranked []member, halls int) {
	orders := make([]int, halls)
	for i := range ranked {
		if ranked[i].position == 0 {
			orders[ranked[i].hall] = i
		}
		ranked[i].depth = ranked[i].position + orders[ranked[i].hall]
	}
}
