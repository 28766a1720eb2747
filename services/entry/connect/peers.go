// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package connect

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// maxPeersAsked bounds how many other instances are asked for one connection. A higher value finds the one that reaches the endpoint where
	// most are cut off, a lower one makes fewer connections while an endpoint is down.
	maxPeersAsked = 6
	// maxOwnHallAsked is how many instances of the own hall are asked before those of other halls. A higher value saves traffic between halls,
	// a lower one finds a way sooner where the own hall is cut off.
	maxOwnHallAsked = 2
	// nextPeerDelay is how long an instance may take to answer until the next one is asked as well. A higher value asks fewer of them, a
	// lower one loses less time to one that is frozen or cut off itself.
	nextPeerDelay = 50 * time.Millisecond
	// peerAvoidTime is how long an instance is asked last after it opened no tunnel. A higher value loses less time to it, a lower one uses it
	// again sooner.
	peerAvoidTime = time.Second
)

// errNoPeer is returned if no other instance can be asked.
var errNoPeer = errors.New("connect: no other instance is known")

// peerList holds the instances through which endpoints can be reached.
type peerList struct {
	hall  string
	self  netip.AddrPort
	peers []Peer
	// preferred is the instance that opened the last tunnel, failed when an instance last opened none.
	preferred netip.AddrPort
	failed    map[netip.AddrPort]time.Time
}

func newPeerList(hall string, self netip.AddrPort) peerList {
	return peerList{hall: hall, self: self, failed: make(map[netip.AddrPort]time.Time)}
}

func (l *peerList) set(peers []Peer) {
	l.peers = slices.DeleteFunc(slices.Clone(peers), func(peer Peer) bool { return peer.Address == l.self })
	for address := range l.failed {
		if !l.listed(address) {
			delete(l.failed, address)
		}
	}
}

func (l *peerList) empty() bool {
	return len(l.peers) == 0
}

func (l *peerList) listed(address netip.AddrPort) bool {
	return slices.ContainsFunc(l.peers, func(peer Peer) bool { return peer.Address == address })
}

// usable reports whether an idle tunnel through an instance may be used again.
func (l *peerList) usable(now time.Time, address netip.AddrPort) bool {
	return l.listed(address) && !l.avoided(now, address)
}

func (l *peerList) avoided(now time.Time, address netip.AddrPort) bool {
	return now.Sub(l.failed[address]) < peerAvoidTime
}

// rank is the group of an instance in the order in which they are asked.
type rank int

// The groups, in the order in which they are asked.
const (
	openedLast rank = iota
	sameHall
	otherHall
	moreOfSameHall
	failedRecently
)

// order returns the addresses of the instances to ask: the one that opened the last tunnel, then a few of the own hall, which cost no
// traffic between halls, then those of other halls, the rest of the own hall, and last those that failed recently. Within each group the
// order is random, so that many instances that are cut off share the work among the others.
func (l *peerList) order(now time.Time) []netip.AddrPort {
	shuffled := slices.Clone(l.peers)
	rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	ranks := l.ranks(now, shuffled)
	slices.SortStableFunc(shuffled, func(a, b Peer) int { return int(ranks[a.Address] - ranks[b.Address]) })
	addresses := make([]netip.AddrPort, 0, maxPeersAsked)
	for _, peer := range shuffled[:min(len(shuffled), maxPeersAsked)] {
		addresses = append(addresses, peer.Address)
	}
	return addresses
}

// ranks returns the group of each instance, by its address.
func (l *peerList) ranks(now time.Time, peers []Peer) map[netip.AddrPort]rank {
	ranks := make(map[netip.AddrPort]rank, len(peers))
	ownHall := 0
	for _, peer := range peers {
		switch {
		case l.avoided(now, peer.Address):
			ranks[peer.Address] = failedRecently
		case peer.Address == l.preferred:
			ranks[peer.Address] = openedLast
		case peer.Hall != l.hall:
			ranks[peer.Address] = otherHall
		case ownHall < maxOwnHallAsked:
			ownHall++
			ranks[peer.Address] = sameHall
		default:
			ranks[peer.Address] = moreOfSameHall
		}
	}
	return ranks
}

// recordOpened records that an endpoint has answered through an instance.
func (l *peerList) recordOpened(address netip.AddrPort) {
	l.preferred = address
	delete(l.failed, address)
}

// recordFailed records that an instance opened no tunnel, or one that led nowhere.
func (l *peerList) recordFailed(now time.Time, address netip.AddrPort) {
	l.failed[address] = now
	if l.preferred == address {
		l.preferred = netip.AddrPort{}
	}
}

// candidates returns the instances to ask for a tunnel.
func (c *Connector) candidates() []netip.AddrPort {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.peers.order(c.options.Now())
}

// recordPeers records that an endpoint has answered through one instance, and not through the others that were asked: these may be cut off
// themselves.
func (c *Connector) recordPeers(answered netip.AddrPort, unanswered []netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.peers.recordOpened(answered)
	for _, address := range unanswered {
		c.peers.recordFailed(c.options.Now(), address)
	}
}

// recordPeerFailed records that an instance opened no tunnel.
func (c *Connector) recordPeerFailed(address netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.peers.recordFailed(c.options.Now(), address)
}
