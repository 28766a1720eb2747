// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"math"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// popularity keeps a fast and a slow arrival rate for each adapter, weighted by stall weight.
type popularity struct {
	fastLife float64
	slowLife float64
	slowPart float64
	stats    map[fleet.AdapterRef]*arrivalStat
}

type arrivalStat struct {
	fast float64
	slow float64
	last time.Time
}

func newPopularity(o Options) *popularity {
	return &popularity{
		fastLife: o.FastHalfLife.Seconds() / math.Ln2,
		slowLife: o.SlowHalfLife.Seconds() / math.Ln2,
		slowPart: o.SlowWeight,
		stats:    make(map[fleet.AdapterRef]*arrivalStat),
	}
}

// add records an arrival of the given weight.
func (p *popularity) add(now time.Time, ref fleet.AdapterRef, weight float64) {
	s, ok := p.stats[ref]
	if !ok {
		s = &arrivalStat{last: now}
		p.stats[ref] = s
	}
	p.decay(now, s)
	s.fast += weight / p.fastLife
	s.slow += weight / p.slowLife
}

func (p *popularity) decay(now time.Time, s *arrivalStat) {
	dt := now.Sub(s.last).Seconds()
	if dt <= 0 {
		return
	}
	s.fast *= math.Exp(-dt / p.fastLife)
	s.slow *= math.Exp(-dt / p.slowLife)
	s.last = now
}

// rate estimates the weighted arrivals a second to expect.
func (p *popularity) rate(now time.Time, ref fleet.AdapterRef) float64 {
	s, ok := p.stats[ref]
	if !ok {
		return 0
	}
	p.decay(now, s)
	return math.Max(s.fast, p.slowPart*s.slow)
}

// steady estimates the weighted arrivals a second from the slow estimate alone.
func (p *popularity) steady(now time.Time, ref fleet.AdapterRef) float64 {
	s, ok := p.stats[ref]
	if !ok {
		return 0
	}
	p.decay(now, s)
	return s.slow
}

const forgetRate = 1e-7

// forget drops adapters whose rates have faded, which bounds the memory.
func (p *popularity) forget(now time.Time) {
	for ref, s := range p.stats {
		p.decay(now, s)
		if s.fast < forgetRate && s.slow < forgetRate {
			delete(p.stats, ref)
		}
	}
}
