// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package plan

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Herd is the choice of the instances that a herd kill kills.
type Herd string

// The choices of a herd kill: all instances, a share of them, or all of one hall.
const (
	HerdAll  Herd = "all"
	HerdMost Herd = "most"
	HerdHall Herd = "hall"
)

// Herds returns all choices.
func Herds() []Herd {
	return []Herd{HerdAll, HerdMost, HerdHall}
}

const (
	// herdStream is added to the stream number of the random generator, so that herd kills get random numbers of their own.
	herdStream = 1 << 43
	// herdBegin is the time of the first herd kill at the earliest, when streams have begun and several endpoints have served for a while.
	// herdEnd is the time after the last one in which its streams are taken up.
	herdBegin = 5 * time.Second
	herdEnd   = 6 * time.Second
	// minHerdGap and maxHerdGap bound the time between herd kills, except for a second one that follows after minSecondGap to maxSecondGap.
	minHerdGap   = 3500 * time.Millisecond
	maxHerdGap   = 6500 * time.Millisecond
	minSecondGap = 500 * time.Millisecond
	maxSecondGap = 3 * time.Second
	// secondOdds makes one of three herd kills a pair, and leaveOdds lets a software version leave before one of two.
	secondOdds = 3
	leaveOdds  = 2
	// maxLeaveLead is the longest time by which a software version leaves before a herd kill.
	maxLeaveLead = 2 * time.Second
	// leaveWays is the number of ways in which a software version leaves.
	leaveWays = 2
)

// DrawHerd returns a plan of the steps that kill several instances at once, and of software versions that leave shortly before, ordered by
// time.
func DrawHerd(seed uint64, o Options) []Step {
	if len(o.Herds) == 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, herdStream+uint64(o.Span)))
	between := func(least, most time.Duration) time.Duration {
		return (least + time.Duration(random.Float64()*float64(most-least))).Round(time.Millisecond)
	}
	var steps []Step
	kill := func(at time.Duration) {
		steps = append(steps, Step{Kind: HerdKill, At: at, Targets: o.drawHerd(random)})
	}
	for at := herdBegin + between(0, minHerdGap); at < o.Span-herdEnd; at += between(minHerdGap, maxHerdGap) {
		if random.IntN(leaveOdds) == 0 {
			steps = append(steps, Step{Kind: SoftwareLeaves, At: at - between(0, maxLeaveLead), Count: 1 + random.IntN(leaveWays)})
		}
		kill(at)
		if random.IntN(secondOdds) == 0 {
			at += between(minSecondGap, maxSecondGap)
			kill(at)
		}
	}
	return Merge(steps, nil)
}

// drawHerd returns the numbers of the instances that one herd kill kills, in ascending order.
func (o Options) drawHerd(random *rand.Rand) []int {
	herd := o.Herds[random.IntN(len(o.Herds))]
	order := random.Perm(o.Instances)
	switch herd {
	case HerdMost:
		order = order[:int(math.Ceil(o.HerdShare*float64(o.Instances)))]
	case HerdHall:
		hall := order[0] % o.Halls
		order = slices.DeleteFunc(order, func(i int) bool { return i%o.Halls != hall })
	}
	slices.Sort(order)
	return order
}
