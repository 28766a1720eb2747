// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package queue

import (
	"time"

	"github.com/shelfledge/shelfledge/modules/daemon/sizelimit"
)

const (
	// tagRetention is how long a customer's last tag is kept after the customer's last request was seen waiting. A longer time still delays a
	// customer after a burst and a pause, a shorter one frees memory sooner.
	tagRetention = 10 * time.Minute
	// minScanInterval is the minimum number of started requests between two scans for tags that virtual time has passed; it limits the cost
	// of the scans in a small queue.
	minScanInterval = 64
	// maxTags is the number of tags above which those nearest to virtual time are dropped, apart from those of customers with a waiting
	// request. A higher limit still delays more customers after a burst, a lower one uses less memory and ends a scan sooner.
	maxTags = 16384
)

// fairOrder assigns the start tags of start-time fair queuing.
type fairOrder struct {
	// virtualTime is the virtual time of each class, in tokens.
	virtualTime map[string]float64
	tags        map[customerKey]lastTag
	// startsUntilScan is the number of requests that start before the next scan.
	startsUntilScan int
	tagLimit        sizelimit.Limit
}

// lastTag is the finish tag of a customer's last request in the virtual time of its class, in tokens.
type lastTag struct {
	finish float64
	// lastWaiting is when a request of the customer was last seen waiting.
	lastWaiting time.Time
}

func newFairOrder() fairOrder {
	return fairOrder{
		virtualTime: make(map[string]float64), tags: make(map[customerKey]lastTag), startsUntilScan: minScanInterval,
		tagLimit: sizelimit.New(maxTags),
	}
}

// nextTag returns the start tag of a customer's next request and records its finish tag.
func (f *fairOrder) nextTag(now time.Time, key customerKey, tokens int) float64 {
	tag := max(f.virtualTime[key.class], f.tags[key].finish)
	f.tags[key] = lastTag{finish: tag + float64(tokens), lastWaiting: now}
	return tag
}

// advance sets a class's virtual time to the tag of a request that starts, and scans for tags that virtual time has passed.
func (f *fairOrder) advance(class string, tag float64, waits func(customerKey) bool) {
	f.virtualTime[class] = max(f.virtualTime[class], tag)
	f.startsUntilScan--
	if f.startsUntilScan > 0 {
		return
	}
	for key, last := range f.tags {
		if last.finish <= f.virtualTime[key.class] && !waits(key) {
			delete(f.tags, key)
		}
	}
	f.dropUntaggedClasses()
	// With as many starts between two scans as there are tags, the amortized cost of a scan is one step per start.
	f.startsUntilScan = max(minScanInterval, len(f.tags))
}

// prune drops tags that are older than tagRetention, and classes without tags.
func (f *fairOrder) prune(now time.Time, waits func(customerKey) bool) {
	for key, last := range f.tags {
		switch {
		case waits(key):
			last.lastWaiting = now
			f.tags[key] = last
		case now.Sub(last.lastWaiting) > tagRetention:
			delete(f.tags, key)
		}
	}
	f.dropUntaggedClasses()
}

// limitTags drops the tags that delay their customers least if there are more than maxTags, and classes without tags.
func (f *fairOrder) limitTags(waits func(customerKey) bool) {
	if !f.tagLimit.Exceeded(len(f.tags)) {
		return
	}
	sizelimit.Reduce(&f.tagLimit, f.tags, func(key customerKey, last lastTag) (float64, bool) {
		return last.finish - f.virtualTime[key.class], !waits(key)
	})
	f.dropUntaggedClasses()
}

// dropUntaggedClasses drops the virtual time of each class without tags. The next request of such a class starts at virtual time zero. A
// class with a waiting request has a tag.
func (f *fairOrder) dropUntaggedClasses() {
	tagged := make(map[string]bool)
	for key := range f.tags {
		tagged[key.class] = true
	}
	for class := range f.virtualTime {
		if !tagged[class] {
			delete(f.virtualTime, class)
		}
	}
}
