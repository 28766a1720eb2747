// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"time"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
)

const (
	// DefaultWindow is the number of bytes of keys, 1 MiB, that may be in transmission to members that have not acknowledged them,
	// if the rate of this instance's link is unknown. A larger window reaches many members earlier; a smaller one takes less of the
	// planner's memory and link. Keys larger than the window are sent to one member at a time.
	DefaultWindow = 1_048_576
	// minWindow and maxWindow limit the window of an instance whose link rate is known, in bytes: 256 KiB and 8 MiB.
	minWindow = 262_144
	maxWindow = 8_388_608
	// fullWindowTime is the transmission time of a full window over the link of this instance. Views wait behind it.
	fullWindowTime = 350 * time.Millisecond
	// ResendAfter is the time after which keys that a member has not acknowledged are sent to it again, and after which another member is
	// asked for keys. It is longer than the transmission of 1 MiB over the slowest link and of the report after it.
	ResendAfter = 2 * time.Second
)

// DelayFor returns how long an instance may lack newer keys of a size in bytes before they are sent to it. Within that time it
// has read them itself, if the store answers it.
func DelayFor(bytes int) time.Duration {
	return member.RelayDelay + follow.ReadTime(bytes)
}

// WindowFor returns the window of an instance with a link rate in bytes per second; 0 means that the rate is unknown.
func WindowFor(bytesPerSecond int) int {
	if bytesPerSecond <= 0 {
		return DefaultWindow
	}
	return min(max(int(fullWindowTime.Seconds()*float64(bytesPerSecond)), minWindow), maxWindow)
}

// Window limits the keys in transmission to members, tracked by the link to each member: when a link ends, the keys in transmission
// over it are lost. It is not safe for concurrent use.
type Window[Link comparable] struct {
	bytes int
	sent  map[Link]sending
}

// sending is the last transmission over one link.
type sending struct {
	revision int64
	bytes    int
	at       time.Time
}

// NewWindow returns a window of a size in bytes.
func NewWindow[Link comparable](bytes int) *Window[Link] {
	return &Window[Link]{bytes: bytes, sent: make(map[Link]sending)}
}

// HasRoom reports whether a number of bytes of keys can be sent over a link now. Until a member has acknowledged the last keys, it is
// sent no more, so that changes in quick succession do not accumulate.
func (w *Window[Link]) HasRoom(now time.Time, link Link, bytes int) bool {
	if last, ok := w.sent[link]; ok && now.Sub(last.at) < ResendAfter {
		return false
	}
	others := w.inTransmission(now, link)
	return others == 0 || others+bytes <= w.bytes
}

// Send reports whether keys up to a revision may be sent over a link now, and if so counts them as in transmission.
func (w *Window[Link]) Send(now time.Time, link Link, revision int64, bytes int) bool {
	if !w.HasRoom(now, link, bytes) {
		return false
	}
	w.sent[link] = sending{revision: revision, bytes: bytes, at: now}
	return true
}

// inTransmission returns the number of bytes in transmission over all other links. Keys that were sent longer ago than ResendAfter
// count as lost.
func (w *Window[Link]) inTransmission(now time.Time, except Link) int {
	sum := 0
	for link, last := range w.sent {
		if link != except && now.Sub(last.at) < ResendAfter {
			sum += last.bytes
		}
	}
	return sum
}

// RecordReported records the revision up to which the instance at the other end of a link reported that it has the keys.
func (w *Window[Link]) RecordReported(link Link, revision int64) {
	if last, ok := w.sent[link]; ok && revision >= last.revision {
		delete(w.sent, link)
	}
}

// RemoveLink removes a link that has ended, which loses the keys in transmission over it.
func (w *Window[Link]) RemoveLink(link Link) {
	delete(w.sent, link)
}
