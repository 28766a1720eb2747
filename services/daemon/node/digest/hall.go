// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package digest

import (
	"cmp"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/ring"
)

// Speaker names the instance that speaks for a hall, among the hall's live instances
// that are not leaving; the empty string where there are none.
func Speaker(hall string, candidates []string) string {
	return ring.Best("speaker/"+hall, candidates)
}

// rememberedLives is how many lives of a hall's speakers are remembered, so that their late digests are told from new ones; what a life
// before those said is taken as long gone.
const rememberedLives = 8

// speakerLife is one life of an instance that spoke for a hall, with the number of the last digest of it that was taken.
type speakerLife struct {
	id     string
	boot   uint64
	number uint64
}

// Hall is what is known of another hall.
type Hall struct {
	name      string
	speaker   fleet.Instance
	instances []fleet.Instance
	placers   map[string]fleet.PoolPlacer
	heard     time.Time
	cut       bool
	revision  int64
	// gaps names the pools of which a summary was missed; wants those that the hall misses.
	gaps  map[string]bool
	wants []string
	turn  int
	// lives are those that spoke for the hall, in the order in which they began to be heard.
	lives []speakerLife
}

// NewHall makes the state of a hall that was never heard; it counts as cut off.
func NewHall(name string) *Hall {
	return &Hall{name: name, placers: make(map[string]fleet.PoolPlacer), gaps: make(map[string]bool), cut: true}
}

// Name gives the hall's name.
func (h *Hall) Name() string {
	return h.name
}

// Late tells whether a digest was made before one that was taken already, or by a former life of its speaker. Nothing
// is known of the order of digests of different speakers, nor of those that are not numbered.
func (h *Hall) Late(d *fleet.Digest) bool {
	i := h.lifeOf(d)
	if d.Number == 0 || i < 0 {
		return false
	}
	// A life that began later has the higher boot, unless the instance's clock was set back.
	restarted := slices.ContainsFunc(h.lives[i:], func(l speakerLife) bool { return l.id == d.Speaker.ID && l.boot > d.Boot })
	return restarted || d.Number <= h.lives[i].number
}

// lifeOf finds the life that made a digest, or -1.
func (h *Hall) lifeOf(d *fleet.Digest) int {
	return slices.IndexFunc(h.lives, func(l speakerLife) bool { return l.id == d.Speaker.ID && l.boot == d.Boot })
}

// remember notes the number of a digest that is taken.
func (h *Hall) remember(d *fleet.Digest) {
	if d.Number == 0 {
		return
	}
	if i := h.lifeOf(d); i >= 0 {
		h.lives[i].number = d.Number
		return
	}
	h.lives = append(h.lives, speakerLife{id: d.Speaker.ID, boot: d.Boot, number: d.Number})
	if len(h.lives) > rememberedLives {
		h.lives = slices.Delete(h.lives, 0, 1)
	}
}

// Take enters a digest's account of the hall, save its placers and pools. What the hall
// misses is heard only from its speaker itself: a relayed digest tells it to others.
func (h *Hall) Take(now time.Time, d *fleet.Digest) {
	h.remember(d)
	h.heard = now.Add(-d.Age)
	if !d.Relayed {
		h.wants = d.WantedSummaries
	}
	h.speaker = d.Speaker
	if len(d.Instances) > 0 {
		h.instances = d.Instances
	}
	h.revision = d.Revision
}

// LearnPlacer enters the placer of one of the hall's pools, unless its term is below the
// one known. It reports true where the placer or its term is new.
func (h *Hall) LearnPlacer(p fleet.PoolPlacer) bool {
	old, ok := h.placers[p.Pool]
	if ok && old.Term > p.Term {
		return false
	}
	h.placers[p.Pool] = p
	return !ok || old.Instance.ID != p.Instance.ID || old.Term != p.Term
}

// Placer finds the instance that places a pool of the hall.
func (h *Hall) Placer(pool string) (fleet.Instance, bool) {
	p, ok := h.placers[pool]
	return p.Instance, ok
}

// SetGap notes whether a pool's summary was missed, so that the whole one is asked for.
func (h *Hall) SetGap(pool string, missed bool) {
	if missed {
		h.gaps[pool] = true
		return
	}
	delete(h.gaps, pool)
}

// Gaps lists the pools whose whole summary to ask for, by name.
func (h *Hall) Gaps() []string {
	var out []string
	for name := range h.gaps {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Wants tells whether the hall has asked for the whole summary of a pool.
func (h *Hall) Wants(pool string) bool {
	return slices.Contains(h.wants, pool)
}

// WantsInstances tells whether the hall is to be told of every instance: where it is cut
// off, it may know none to answer to, and where it has missed something, it may be new.
func (h *Hall) WantsInstances() bool {
	return h.cut || len(h.wants) > 0
}

// Speaker gives the instance that spoke for the hall last, and false before any did.
func (h *Hall) Speaker() (fleet.Instance, bool) {
	return h.speaker, h.speaker.ID != ""
}

// Instance finds an instance that the hall has named.
func (h *Hall) Instance(id string) (fleet.Instance, bool) {
	for _, i := range h.instances {
		if i.ID == id {
			return i, true
		}
	}
	return fleet.Instance{}, false
}

// Revision gives the lowest revision in force in the hall by its last account.
func (h *Hall) Revision() int64 {
	return h.revision
}

// Silence gives the time since the hall was heard, or zero where it never was.
func (h *Hall) Silence(now time.Time) time.Duration {
	if h.heard.IsZero() {
		return 0
	}
	return now.Sub(h.heard)
}

// FallsSilent tells whether a hall that is in reach was not heard for longer than the limit.
func (h *Hall) FallsSilent(now time.Time, limit time.Duration) bool {
	return !h.cut && now.Sub(h.heard) > limit
}

// Cut tells whether the hall counts as cut off from this one.
func (h *Hall) Cut() bool {
	return h.cut
}

// SetCut marks the hall as cut off or in reach; it reports false where that is known.
func (h *Hall) SetCut(cut bool) bool {
	if h.cut == cut {
		return false
	}
	h.cut = cut
	return true
}

// Targets names whom to tell in the hall: its speaker while it is heard, and else one of
// the instances that it named or the platform lists, another each time.
func (h *Hall) Targets(listed map[string]fleet.Instance) []fleet.Instance {
	if s, ok := h.Speaker(); ok && !h.cut {
		return []fleet.Instance{s}
	}
	known := slices.Clone(h.instances)
	for _, i := range listed {
		if _, named := h.Instance(i.ID); i.Hall == h.name && !named {
			known = append(known, i)
		}
	}
	if len(known) == 0 {
		return nil
	}
	slices.SortFunc(known, func(a, b fleet.Instance) int { return cmp.Compare(a.ID, b.ID) })
	h.turn++
	return []fleet.Instance{known[h.turn%len(known)]}
}
