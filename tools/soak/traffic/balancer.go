// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package traffic

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/tools/processes"
)

const (
	// askPause is the pause between two questions for readiness, and missesOut how many of them in a row an instance may miss: the
	// platform's own.
	askPause  = time.Second
	missesOut = 2
	// askTimeout bounds one question.
	askTimeout = 900 * time.Millisecond
)

// Target is an instance that callers may be sent to.
type Target struct {
	Name string
	// Callers is the IP:PORT of its callers, Ready the URL that tells whether it is ready.
	Callers string
	Ready   string
}

// Balancer asks instances whether they are ready and gives new connections to those that are.
type Balancer struct {
	targets []Target
	client  *http.Client
	mutex   sync.Mutex
	missed  []int
}

// NewBalancer makes a balancer that takes all targets for ready; Run asks them.
func NewBalancer(targets []Target) *Balancer {
	return &Balancer{targets: targets, missed: make([]int, len(targets)), client: &http.Client{
		Timeout: askTimeout, Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

// Run asks all targets until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	ticker := time.NewTicker(askPause)
	defer ticker.Stop()
	for {
		for i := range b.targets {
			go b.ask(i)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *Balancer) ask(i int) {
	ready := processes.RespondsOK(b.client, b.targets[i].Ready)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if ready {
		b.missed[i] = 0
		return
	}
	b.missed[i]++
}

// Pick gives an instance for a new connection: one that is ready, or any where fewer than half of them are.
func (b *Balancer) Pick(random *rand.Rand) Target {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var in []int
	for i, missed := range b.missed {
		if missed < missesOut {
			in = append(in, i)
		}
	}
	if len(in)*2 < len(b.targets) {
		return b.targets[random.IntN(len(b.targets))]
	}
	return b.targets[in[random.IntN(len(in))]]
}
