// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow

import (
	"iter"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// Versions holds the versions that operators named for adapters. It is not safe for concurrent use.
type Versions struct {
	// named are the last named versions of each adapter, oldest first, at most maxNamed. The last call of FormerVersion removed the
	// entries before the last one for which the limit of older versions has passed.
	named map[deployment.Adapter][]namedVersion
	// compared are the last named versions of each adapter, oldest first, at most maxCompared, whether older ones may still
	// serve or not. They are used only to report the age of the versions on which requests run, not for decisions.
	compared map[deployment.Adapter][]namedVersion
}

// namedVersion is a version that operators named, and the latest time at which it was provably not yet acknowledged; zero if unknown.
type namedVersion struct {
	version int64
	since   time.Time
}

const (
	// reserveDivisor is the divisor of a limit whose quotient is reserved for what is unknown when an endpoint is chosen: the
	// connection time and a longer wait than expected. A smaller divisor reserves more, and excludes the former version earlier.
	reserveDivisor = 2
	// maxNamed is the number of stored versions of an adapter. A higher number gives each version its own limit when versions follow
	// each other fast; a lower one takes less memory.
	maxNamed = 8
	// maxCompared is the number of versions of an adapter that are stored to report for how long a version has been outdated. A higher
	// number allows that for older versions; a lower one takes less memory.
	maxCompared = 16
)

// NewVersions returns a set without versions.
func NewVersions() *Versions {
	return &Versions{named: make(map[deployment.Adapter][]namedVersion), compared: make(map[deployment.Adapter][]namedVersion)}
}

// Put stores a version that is received now, with the latest time at which it was provably not yet acknowledged. The limit of
// older versions starts at that time, however late this instance receives the version; if it is unknown, that is zero, the limit
// has passed. Put reports whether the version is newer than the last one: versions only increase.
func (v *Versions) Put(now, since time.Time, adapter deployment.Adapter, version int64) bool {
	if version <= v.Latest(adapter) {
		return false
	}
	v.recordAge(now, since, adapter, version)
	versions := v.named[adapter]
	if len(versions) > 0 && versions[len(versions)-1].since.After(since) {
		// The version was acknowledged after the one before it.
		since = versions[len(versions)-1].since
	}
	if len(versions) < maxNamed {
		v.named[adapter] = append(versions, namedVersion{version: version, since: since})
		return true
	}
	// The version replaces the last one and keeps its time, so that the limit of older versions ends sooner, never later.
	versions[len(versions)-1].version = version
	return true
}

// recordAge stores the time from which a version counts, or the time of its reception if that is unknown.
func (v *Versions) recordAge(now, since time.Time, adapter deployment.Adapter, version int64) {
	if since.IsZero() {
		since = now
	}
	versions := append(v.compared[adapter], namedVersion{version: version, since: since})
	if len(versions) > maxCompared {
		versions = slices.Delete(versions, 0, 1)
	}
	v.compared[adapter] = versions
}

// FirstNewer returns the first named version that is newer than the given one, and for how long it has counted, or has been known if
// that is unknown; 0 if there is none. After more than maxCompared newer versions, it returns a later one, so that the age is
// never too high.
func (v *Versions) FirstNewer(now time.Time, adapter deployment.Adapter, version int64) (newer int64, age time.Duration) {
	for _, entry := range v.compared[adapter] {
		if entry.version > version {
			return entry.version, now.Sub(entry.since)
		}
	}
	return 0, 0
}

// Latest returns the version that was named last; 0 if there is none.
func (v *Versions) Latest(adapter deployment.Adapter) int64 {
	versions := v.named[adapter]
	if len(versions) == 0 {
		return 0
	}
	return versions[len(versions)-1].version
}

// NewerSince returns the time at which the limit for requests on a former version starts; zero if the limit has passed. It
// returns false if no newer version is named.
func (v *Versions) NewerSince(adapter deployment.Adapter, version int64) (time.Time, bool) {
	for _, entry := range v.named[adapter] {
		if entry.version > version {
			return entry.since, true
		}
	}
	return time.Time{}, false
}

// FormerVersion returns which former versions a request that is assigned now may run on, where requests may begin on a former version
// until limit after the acknowledgement of a newer one: versions from oldest on, if the request begins within wait; none if wait is
// not positive. An oldest of 0 allows all versions.
func (v *Versions) FormerVersion(now time.Time, adapter deployment.Adapter, limit time.Duration) (oldest int64, wait time.Duration) {
	versions := v.named[adapter]
	left := func(entry namedVersion) time.Duration { return limit - limit/reserveDivisor - now.Sub(entry.since) }
	for len(versions) > 1 && left(versions[1]) <= 0 {
		versions = versions[1:]
	}
	v.keepOnly(adapter, versions)
	switch {
	case len(versions) == 0:
		return 0, 0
	case left(versions[0]) > 0:
		return 0, left(versions[0])
	case len(versions) == 1:
		return versions[0].version, 0
	default:
		return versions[0].version, left(versions[1])
	}
}

// keepOnly removes the versions before the remaining ones.
func (v *Versions) keepOnly(adapter deployment.Adapter, left []namedVersion) {
	if len(left) < len(v.named[adapter]) {
		v.named[adapter] = slices.Clone(left)
	}
}

// All returns each adapter with the version that was named last.
func (v *Versions) All() iter.Seq2[deployment.Adapter, int64] {
	return func(yield func(deployment.Adapter, int64) bool) {
		for adapter := range v.named {
			if !yield(adapter, v.Latest(adapter)) {
				return
			}
		}
	}
}
