// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package instancelist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/bounded"
)

// The states of an entry.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Entry is an instance or an endpoint in the list.
type Entry struct {
	Name     string         `json:"name"`
	Kind     string         `json:"kind"`
	Hall     string         `json:"hall"`
	Address  netip.AddrPort `json:"address"`
	Operator netip.AddrPort `json:"operator,omitzero"`
	State    string         `json:"state"`
}

// The kinds of entries.
const (
	KindInstance = "instance"
	KindEndpoint = "endpoint"
)

// List is the platform's list as it was at some recent time.
type List struct {
	Entries []Entry `json:"entries"`
}

// Instances returns the instances in the list, including leaving ones.
func (l List) Instances() []fleet.Instance {
	var out []fleet.Instance
	for _, e := range l.Entries {
		if e.Kind == KindInstance {
			out = append(out, fleet.Instance{ID: e.Name, Hall: e.Hall, Address: e.Address, Operator: e.Operator})
		}
	}
	return out
}

// Leaving returns the names of the endpoints that the list shows as leaving.
func (l List) Leaving() []string {
	var out []string
	for _, e := range l.Entries {
		if e.Kind == KindEndpoint && e.State == StateLeaving {
			out = append(out, e.Name)
		}
	}
	return out
}

// ErrListUnavailable reports that the list could not be read.
type ErrListUnavailable struct {
	Reason string
}

// Error returns the reason.
func (e ErrListUnavailable) Error() string {
	return fmt.Sprintf("platform's instance list cannot be read: %s", e.Reason)
}

// maxListBytes bounds the response with the list, in bytes.
const maxListBytes = 4 << 20

// Reader reads the list over HTTP.
type Reader struct {
	Address netip.AddrPort
	Timeout time.Duration
	Client  *http.Client
}

// Read requests the list from the platform.
func (r Reader) Read(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Address.String()+"/instances", nil)
	if err != nil {
		return List{}, ErrListUnavailable{Reason: err.Error()}
	}
	resp, err := r.Client.Do(req)
	if err != nil {
		return List{}, ErrListUnavailable{Reason: err.Error()}
	}
	// The list is decoded before Close, so that an error of Close is ignored.
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return List{}, ErrListUnavailable{Reason: resp.Status}
	}
	content, err := bounded.ReadAll(resp.Body, maxListBytes)
	if err != nil {
		return List{}, ErrListUnavailable{Reason: err.Error()}
	}
	var l List
	if err := json.Unmarshal(content, &l); err != nil {
		return List{}, ErrListUnavailable{Reason: err.Error()}
	}
	return l, nil
}
