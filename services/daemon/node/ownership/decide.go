// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import "github.com/shelfledge/shelfledge/modules/daemon/ring"

// Claim is an instance's announcement that it holds a pool under a term.
type Claim struct {
	Instance string
	Term     uint64
}

// Highest gives the claim that the others of a pool have to yield to, and false where
// nobody claims the pool: the highest term, and among equals the higher score.
func Highest(pool string, claims []Claim) (Claim, bool) {
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

// Yields tells whether the instance with one claim on a pool lets it go to another's. Two
// instances that hold the same two claims never both yield, nor both stay.
func Yields(pool string, own, other Claim) bool {
	if own.Term != other.Term {
		return other.Term > own.Term
	}
	return ring.Score(pool, other.Instance) > ring.Score(pool, own.Instance)
}

// Action is what a node has to do about a pool of its hall.
type Action string

// The actions.
const (
	// Keep goes on holding the pool.
	Keep Action = "keep"
	// StepDown lets the pool go to the announced placer.
	StepDown Action = "step down"
	// Follow takes the announced placer, or nobody, as the pool's placer.
	Follow Action = "follow"
	// TakeOver makes this node the pool's placer under a new term.
	TakeOver Action = "take over"
)

// Situation is what a node knows of a pool of its hall at one moment.
type Situation struct {
	Pool string
	// Own is the node's claim; its term counts only while Mine is true.
	Own  Claim
	Mine bool
	// Announced is the highest claim among the live members, if Claimed is true.
	Announced Claim
	Claimed   bool
	// Leaving is true once the node's planned stop has begun.
	Leaving bool
	// Listening is true while the node is too young to have heard every member.
	Listening bool
	// Candidates names the live instances that are not leaving. It is called only where
	// nobody claims the pool, since to name them costs more than the other rules.
	Candidates func() []string
}

// Decide gives what to do about a pool. The answer depends on the situation alone, so a
// message that is lost, late or repeated changes it only by what the members announce.
func Decide(s Situation) Action {
	if s.Mine {
		if s.Claimed && Yields(s.Pool, s.Own, s.Announced) {
			return StepDown
		}
		return Keep
	}
	if s.Claimed || s.Leaving || s.Listening {
		return Follow
	}
	if ring.Best(s.Pool, s.Candidates()) == s.Own.Instance {
		return TakeOver
	}
	return Follow
}

// NextTerm gives the term of a takeover, above every term that was heard. A new life of
// a lone instance has heard none, so its boot, which grows with each life, is a floor.
func NextTerm(highest, boot uint64) uint64 {
	return max(highest+1, boot)
}
