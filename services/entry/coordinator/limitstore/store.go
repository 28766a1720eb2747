// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package limitstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/modules/messagepack"
)

// Key is the key of the limits.
const Key = "shelfledge/limits"

// MaxLimits is the number of limits that are kept. A higher number keeps more of them, a lower one bounds the size of the value.
const MaxLimits = 256

// Limit is the number of requests per second that an endpoint reported.
type Limit struct {
	Endpoint  deployment.EndpointID `msgpack:"e"`
	PerSecond float64               `msgpack:"r"`
}

// value is the value of the key. Fields may be added.
type value struct {
	Limits []Limit `msgpack:"l"`
}

// Kept is what the store has. Revision is 0 if it has no limits yet.
type Kept struct {
	Limits   []Limit
	Revision int64
}

// Store reads and writes the limits. Timeout bounds each call.
type Store struct {
	Client  store.Client
	Timeout time.Duration
}

// Read reads the limits. A value that cannot be read counts as one without limits, and can be replaced.
func (s *Store) Read(ctx context.Context) (Kept, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	item, err := s.Client.Get(ctx, Key)
	if errors.Is(err, store.ErrNotFound) {
		return Kept{}, nil
	}
	if err != nil {
		return Kept{}, err
	}
	var decoded value
	if err := messagepack.Unmarshal(item.Value, &decoded); err != nil {
		return Kept{Revision: item.Revision}, nil
	}
	return Kept{Limits: decoded.Limits, Revision: item.Revision}, nil
}

// Write replaces the limits that were read or written at a revision by the first MaxLimits of the given ones. After an error they have to be
// read again.
func (s *Store) Write(ctx context.Context, revision int64, limits []Limit) (Kept, error) {
	encoded, err := msgpack.Marshal(value{Limits: limits[:min(len(limits), MaxLimits)]})
	if err != nil {
		return Kept{}, fmt.Errorf("limitstore: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	written, err := s.Client.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: Key, Revision: revision}},
		Writes:     []store.Write{{Key: Key, Value: encoded}},
	})
	if err != nil {
		return Kept{}, err
	}
	return Kept{Limits: limits, Revision: written}, nil
}
