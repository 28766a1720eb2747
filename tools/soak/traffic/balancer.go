// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package traffic

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/tools/processes"
)

const (
	// checkInterval is the interval of the readiness checks. An instance that fails maxMisses checks in a row gets no new connections.
	// The platform's balancer uses the same values.
	checkInterval = time.Second
	maxMisses     = 2
	// checkTimeout is the time-out of one readiness check.
	checkTimeout = 900 * time.Millisecond
)

// Target is an instance to which callers may connect.
type Target struct {
	Name string
	// Callers is the IP:PORT at which the instance listens for callers, and Ready the URL of its readiness check.
	Callers string
	Ready   string
}

// Balancer checks the readiness of instances and selects a ready instance for each new connection.
type Balancer struct {
	targets []Target
	client  *http.Client
	mutex   sync.Mutex
	missed  []int
}

// NewBalancer returns a balancer that considers all targets ready until Run has checked them.
func NewBalancer(targets []Target) *Balancer {
	return &Balancer{targets: targets, missed: make([]int, len(targets)), client: &http.Client{
		Timeout: checkTimeout, Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

// Run checks the readiness of all targets at each checkInterval until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		for i := range b.targets {
			go b.check(i)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *Balancer) check(i int) {
	ready := processes.RespondsOK(b.client, b.targets[i].Ready)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if ready {
		b.missed[i] = 0
		return
	}
	b.missed[i]++
}

// Pick returns a random instance for a new connection. It selects from the ready instances, or from all instances if fewer than half
// of them are ready.
func (b *Balancer) Pick(random *rand.Rand) Target {
	candidates := b.candidates()
	return candidates[random.IntN(len(candidates))]
}

// PickEach returns instances for a number of new connections, selected like those of Pick, but none a second time before each was
// selected.
func (b *Balancer) PickEach(random *rand.Rand, count int) []Target {
	candidates := b.candidates()
	random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	picked := make([]Target, 0, count)
	for i := range count {
		picked = append(picked, candidates[i%len(candidates)])
	}
	return picked
}

// candidates returns the instances for new connections.
func (b *Balancer) candidates() []Target {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var ready []Target
	for i, missed := range b.missed {
		if missed < maxMisses {
			ready = append(ready, b.targets[i])
		}
	}
	if len(ready)*2 < len(b.targets) {
		return slices.Clone(b.targets)
	}
	return ready
}
