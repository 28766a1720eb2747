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

// Speaker returns the identifier of a hall's speaker, chosen among the candidates: the hall's
// live instances that are not leaving. It returns the empty string if there are none.
func Speaker(hall string, candidates []string) string {
	return ring.Best("speaker/"+hall, candidates)
}

// maxSpeakerRuns is the number of speaker runs per hall whose last digest number is kept to detect late digests. Digests of earlier runs
// are assumed to be no longer in transit.
const maxSpeakerRuns = 8

// speakerRun is one run of an instance that was a hall's speaker, with the number of its last applied digest.
type speakerRun struct {
	id     string
	boot   uint64
	number uint64
}

// Hall is the state of another hall as received in its digests.
type Hall struct {
	name         string
	speaker      fleet.Instance
	instances    []fleet.Instance
	placers      map[string]fleet.PoolPlacer
	lastDigestAt time.Time
	cutOff       bool
	revision     int64
	// missedSummaries contains the pools of the hall of which a summary was missed; wantedSummaries contains the pools whose full
	// summary the hall has requested.
	missedSummaries map[string]bool
	wantedSummaries []string
	rotation        int
	// speakerRuns are the hall's speaker runs, in the order of their first applied digests.
	speakerRuns []speakerRun
}

// NewHall returns the state of a hall from which no digest has arrived. It counts as cut off.
func NewHall(name string) *Hall {
	return &Hall{name: name, placers: make(map[string]fleet.PoolPlacer), missedSummaries: make(map[string]bool), cutOff: true}
}

// Name returns the name of the hall.
func (h *Hall) Name() string {
	return h.name
}

// IsLate reports whether a digest is older than one applied before, or was made by an earlier run of its speaker. Digests
// of different speakers and digests without a number have no known order and are not late.
func (h *Hall) IsLate(d *fleet.Digest) bool {
	i := h.runIndex(d)
	if d.Number == 0 || i < 0 {
		return false
	}
	// A later run has the higher boot, unless the instance's clock was set back. Therefore only runs whose first digest
	// arrived after that of this run count as later.
	restarted := slices.ContainsFunc(h.speakerRuns[i:], func(l speakerRun) bool { return l.id == d.Speaker.ID && l.boot > d.Boot })
	return restarted || d.Number <= h.speakerRuns[i].number
}

// runIndex returns the index of the run that made a digest, or -1.
func (h *Hall) runIndex(d *fleet.Digest) int {
	return slices.IndexFunc(h.speakerRuns, func(l speakerRun) bool { return l.id == d.Speaker.ID && l.boot == d.Boot })
}

// storeNumber stores the number of an applied digest.
func (h *Hall) storeNumber(d *fleet.Digest) {
	if d.Number == 0 {
		return
	}
	if i := h.runIndex(d); i >= 0 {
		h.speakerRuns[i].number = d.Number
		return
	}
	h.speakerRuns = append(h.speakerRuns, speakerRun{id: d.Speaker.ID, boot: d.Boot, number: d.Number})
	if len(h.speakerRuns) > maxSpeakerRuns {
		h.speakerRuns = slices.Delete(h.speakerRuns, 0, 1)
	}
}

// ApplyDigest applies a digest to the state of the hall, except for the digest's placers and pools. The
// requested summaries of a relayed digest are ignored, since they were requested from the instance that relayed it.
func (h *Hall) ApplyDigest(now time.Time, d *fleet.Digest) {
	h.storeNumber(d)
	h.lastDigestAt = now.Add(-d.Age)
	if !d.Relayed {
		h.wantedSummaries = d.WantedSummaries
	}
	h.speaker = d.Speaker
	if len(d.Instances) > 0 {
		h.instances = d.Instances
	}
	h.revision = d.Revision
}

// UpdatePlacer stores the placer of one of the hall's pools, unless its term is below the
// stored one. It reports whether the placer or its term has changed.
func (h *Hall) UpdatePlacer(p fleet.PoolPlacer) bool {
	old, ok := h.placers[p.Pool]
	if ok && old.Term > p.Term {
		return false
	}
	h.placers[p.Pool] = p
	return !ok || old.Instance.ID != p.Instance.ID || old.Term != p.Term
}

// Placer returns the last known placer of a pool of the hall.
func (h *Hall) Placer(pool string) (fleet.Instance, bool) {
	p, ok := h.placers[pool]
	return p.Instance, ok
}

// SetSummaryMissed stores whether a pool's summary was missed, so that the full summary must be requested.
func (h *Hall) SetSummaryMissed(pool string, missed bool) {
	if missed {
		h.missedSummaries[pool] = true
		return
	}
	delete(h.missedSummaries, pool)
}

// MissedSummaries returns the pools whose full summary must be requested, sorted by name.
func (h *Hall) MissedSummaries() []string {
	var out []string
	for name := range h.missedSummaries {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// WantsSummary reports whether the hall has requested the full summary of a pool.
func (h *Hall) WantsSummary(pool string) bool {
	return slices.Contains(h.wantedSummaries, pool)
}

// WantsInstances reports whether digests to the hall must list all instances. A hall that is cut
// off may know no instance to answer to, and a hall that has missed a summary may have just started.
func (h *Hall) WantsInstances() bool {
	return h.cutOff || len(h.wantedSummaries) > 0
}

// Speaker returns the hall's last known speaker, and false if no digest has arrived yet.
func (h *Hall) Speaker() (fleet.Instance, bool) {
	return h.speaker, h.speaker.ID != ""
}

// Instance returns the instance with the identifier, if the hall's digests listed it.
func (h *Hall) Instance(id string) (fleet.Instance, bool) {
	for _, i := range h.instances {
		if i.ID == id {
			return i, true
		}
	}
	return fleet.Instance{}, false
}

// Revision returns the lowest revision in force in the hall, by its last digest.
func (h *Hall) Revision() int64 {
	return h.revision
}

// Silence returns the time since the hall's last digest was made, or zero if none has arrived.
func (h *Hall) Silence(now time.Time) time.Duration {
	if h.lastDigestAt.IsZero() {
		return 0
	}
	return now.Sub(h.lastDigestAt)
}

// BecameSilent reports whether a hall that does not count as cut off has sent no digest for longer than the limit.
func (h *Hall) BecameSilent(now time.Time, limit time.Duration) bool {
	return !h.cutOff && now.Sub(h.lastDigestAt) > limit
}

// CutOff reports whether the hall counts as cut off from this one.
func (h *Hall) CutOff() bool {
	return h.cutOff
}

// SetCutOff marks the hall as cut off or reachable. It reports whether that changed the state.
func (h *Hall) SetCutOff(cutOff bool) bool {
	if h.cutOff == cutOff {
		return false
	}
	h.cutOff = cutOff
	return true
}

// Recipients returns the instances of the hall that receive the next digest: its speaker while the hall is
// reachable, and otherwise one of the instances listed by its digests or by the platform, in rotation.
func (h *Hall) Recipients(listed map[string]fleet.Instance) []fleet.Instance {
	if s, ok := h.Speaker(); ok && !h.cutOff {
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
	h.rotation++
	return []fleet.Instance{known[h.rotation%len(known)]}
}
