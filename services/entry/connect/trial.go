// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package connect

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/upstream"
)

const (
	// trialInterval is the pause between two trials of own links during a cut-off, and trialTimeout bounds one of them. Higher values make
	// fewer connections, lower ones end the cut-off sooner.
	trialInterval = 200 * time.Millisecond
	trialTimeout  = 400 * time.Millisecond
	// maxChecked is how many silent endpoints are checked at a time: as many as it takes to count as cut off.
	maxChecked = 2
	// minCheckPause and maxCheckPause bound the pause between two checks of silent endpoints; minCheckPause is also the pause between two
	// checks of a link that fails. Higher values make fewer connections where endpoints are slow or fail, lower ones detect broken links
	// sooner.
	minCheckPause = 500 * time.Millisecond
	maxCheckPause = 2 * time.Second
	// checkPauseGrowth is the factor from one pause to the next while own links turn out to work.
	checkPauseGrowth = 2
)

// tryOwnLinks tries the own link to one endpoint after the other until the cut-off is over.
func (c *Connector) tryOwnLinks() {
	for c.context.Err() == nil && c.CutOff() {
		if target, ok := c.trialTarget(); ok {
			c.tryOwnLink(target)
		}
		select {
		case <-c.context.Done():
		case <-time.After(trialInterval):
		}
	}
}

// trialTarget returns one of the endpoints whose own link is broken.
func (c *Connector) trialTarget() (upstream.Target, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ids := c.links.Bypassed()
	if len(ids) == 0 {
		return upstream.Target{}, false
	}
	id := ids[rand.IntN(len(ids))]
	return upstream.Target{Key: string(id), Address: c.addresses[id]}, true
}

// tryOwnLink connects over an own link, which records the result, and closes the connection.
func (c *Connector) tryOwnLink(target upstream.Target) {
	ctx, cancel := context.WithTimeout(c.context, trialTimeout)
	defer cancel()
	if connected, err := c.connectOverOwnLink(ctx, target); err == nil {
		// Nothing was sent, so that an error has no consequence.
		_ = connected.Close()
	}
}

// CheckSilent checks the own links to endpoints from which nothing has arrived for a while although requests wait for their answers: the
// links may have failed without a sign. It returns at once.
func (c *Connector) CheckSilent(now time.Time, silent []upstream.Target) {
	if !c.takeCheck(now) {
		return
	}
	for _, target := range silent[:min(len(silent), maxChecked)] {
		go c.check(target)
	}
}

// takeCheck reports whether a check is due, and counts it as made.
func (c *Connector) takeCheck(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.links.CutOff() || c.peers.empty() || now.Sub(c.checkedAt) < c.checkPause {
		return false
	}
	c.checkedAt = now
	c.checkPause = min(max(minCheckPause, checkPauseGrowth*c.checkPause), maxCheckPause)
	return true
}

// othersToCheck returns a few endpoints whose own links are not known to have failed, in random order, and counts their links as checked. The
// caller must hold the mutex.
func (c *Connector) othersToCheck(now time.Time) []upstream.Target {
	var others []upstream.Target
	for id, address := range c.addresses {
		if len(others) == maxChecked {
			break
		}
		if !c.links.IsBroken(id) && now.Sub(c.linkCheckedAt[id]) >= minCheckPause {
			c.linkCheckedAt[id] = now
			others = append(others, upstream.Target{Key: string(id), Address: address})
		}
	}
	return others
}

// check connects to an endpoint over a link that must prove itself, which records the result, and closes the connection.
func (c *Connector) check(target upstream.Target) {
	ctx, cancel := context.WithTimeout(c.context, trialTimeout)
	defer cancel()
	c.update(func(now time.Time) { c.links.RecordFailed(now, deployment.EndpointID(target.Key)) })
	connected, err := c.Connect(ctx, target)
	if err != nil {
		return
	}
	if connected.Peer.IsValid() {
		c.restartChecks()
	}
	// Nothing was sent, so that an error has no consequence.
	_ = connected.Close()
}

// restartChecks makes the next check due after the shortest pause, since an own link has failed.
func (c *Connector) restartChecks() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checkPause = 0
}
