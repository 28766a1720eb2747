// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import "github.com/shelfledge/shelfledge/modules/daemon/ring"

// Claim is an instance's announcement that it is the placer of a pool under a term.
type Claim struct {
	Instance string
	Term     uint64
}

// HighestClaim returns the claim to which all other claims on a pool yield: the one with the highest
// term, and among equal terms the one with the highest score. It returns false if there are no claims.
func HighestClaim(pool string, claims []Claim) (Claim, bool) {
	if len(claims) == 0 {
		return Claim{}, false
	}
	best := claims[0]
	for _, c := range claims[1:] {
		if Yields(pool, best, c) {
			best = c
		}
	}
	return best, true
}

// Yields reports whether the claim own on a pool yields to the claim other. Of two different
// instances that compare the same two claims, exactly one yields.
func Yields(pool string, own, other Claim) bool {
	if own.Term != other.Term {
		return other.Term > own.Term
	}
	return ring.Score(pool, other.Instance) > ring.Score(pool, own.Instance)
}

// Action is a node's decision about a pool of its hall.
type Action string

// The actions.
const (
	// Keep keeps this node as the pool's placer.
	Keep Action = "keep"
	// StepDown releases the pool to the announced placer.
	StepDown Action = "step down"
	// Follow accepts the announced placer, or none, as the pool's placer.
	Follow Action = "follow"
	// TakeOver makes this node the pool's placer under a new term.
	TakeOver Action = "take over"
)

// Situation is a node's state of a pool of its hall at one moment.
type Situation struct {
	Pool string
	// OwnClaim is the node's claim. Its term is valid only while IsPlacer is true. IsPlacer is true while the node is the pool's placer.
	OwnClaim Claim
	IsPlacer bool
	// Announced is the highest claim among the live members. It is valid only if HasAnnounced is true.
	Announced    Claim
	HasAnnounced bool
	// Leaving is true once the node's planned stop has begun.
	Leaving bool
	// StartingUp is true for membership.Options.TakeoverDelay after the node's start, while heartbeats of some members may be missing.
	StartingUp bool
	// Candidates returns the live instances that are not leaving. It is called only if
	// no instance claims the pool, since it costs more than the other rules.
	Candidates func() []string
}

// Decide returns the action for a pool. It depends on the situation alone, so a lost, late or
// repeated message has an effect only through the members' announcements.
func Decide(s Situation) Action {
	if s.IsPlacer {
		if s.HasAnnounced && Yields(s.Pool, s.OwnClaim, s.Announced) {
			return StepDown
		}
		return Keep
	}
	if s.HasAnnounced || s.Leaving || s.StartingUp {
		return Follow
	}
	if ring.Best(s.Pool, s.Candidates()) == s.OwnClaim.Instance {
		return TakeOver
	}
	return Follow
}

// NextTerm returns the term of a takeover, which is above every received term. A restarted
// instance without peers has received no term, so the term is at least its boot number, which
// increases with each restart.
func NextTerm(highest, boot uint64) uint64 {
	return max(highest+1, boot)
}
