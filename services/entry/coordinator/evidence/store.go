// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package evidence

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/modules/fingerprint"
	"github.com/shelfledge/shelfledge/modules/messagepack"
	"github.com/shelfledge/shelfledge/services/quarantine"
)

// Key is the key of the evidence.
const Key = "shelfledge/crashes"

const (
	// leaseTime is how long the evidence stays without a planner. A higher value remembers it over longer standstills of all instances, a
	// lower one forgets sooner what is no longer true.
	leaseTime = 10 * time.Minute
	// RenewInterval is the interval at which evidence that does not change is written again. Its ages are wrong by that much after the loss of
	// all instances. A higher value writes less, a lower one keeps the ages exact.
	RenewInterval = time.Minute
)

// version is the first byte of each value.
const version = 1

// ErrUnreadable is the cause of a value that a program of another version wrote.
var ErrUnreadable = errors.New("evidence: unreadable value")

// Content is what is kept: the crashes under requests, those under parts of prompts, and the services whose endpoints fall over if they reject
// too many requests.
type Content struct {
	Requests, Parts []quarantine.Crash
	Brittle         []Brittle
}

// Brittle is a service, and how many requests a second each of its endpoints can reject.
type Brittle struct {
	Service    string  `msgpack:"s"`
	Rejections float64 `msgpack:"r"`
}

// IsEmpty reports whether there is nothing to keep.
func (c *Content) IsEmpty() bool {
	return len(c.Requests) == 0 && len(c.Parts) == 0 && len(c.Brittle) == 0
}

// IsSame reports whether other content has the same crashes, whatever their ages, and the same brittle services in the same order.
func (c *Content) IsSame(other *Content) bool {
	return haveSameCrashes(c.Requests, other.Requests) && haveSameCrashes(c.Parts, other.Parts) && c.HasSameServices(other.Brittle)
}

// HasSameServices reports whether these are the brittle services, however many requests they can reject.
func (c *Content) HasSameServices(brittle []Brittle) bool {
	return slices.EqualFunc(c.Brittle, brittle, func(a, b Brittle) bool { return a.Service == b.Service })
}

// haveSameCrashes compares crashes without their ages and order.
func haveSameCrashes(first, second []quarantine.Crash) bool {
	if len(first) != len(second) {
		return false
	}
	known := make(map[quarantine.Crash]bool, len(first))
	for _, crash := range first {
		crash.Age = 0
		known[crash] = true
	}
	for _, crash := range second {
		crash.Age = 0
		if !known[crash] {
			return false
		}
	}
	return true
}

// Store accesses the evidence for one instance. Its methods must not run concurrently.
type Store struct {
	Client store.Client
	// Timeout is the timeout of each call.
	Timeout time.Duration
	// revision is that of the key when it was last read or written, 0 if there was none. lease is the lease of this instance, 0 for none.
	revision, lease int64
}

// Read reads the evidence; there is none if the key does not exist. Crashes count as younger than they are by the time since the writing. The
// error is one of package store or ErrUnreadable; a value that cannot be read may be replaced.
func (s *Store) Read(ctx context.Context) (Content, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	item, err := s.Client.Get(ctx, Key)
	if errors.Is(err, store.ErrNotFound) {
		s.revision = 0
		return Content{}, nil
	}
	if err != nil {
		return Content{}, err
	}
	s.revision = item.Revision
	return decode(item.Value)
}

// Write replaces the evidence, unless another instance has changed it since this one read or wrote it. After any error it must be read before
// it is written again. The error is one of package store, a ConflictError if another instance has changed it.
func (s *Store) Write(ctx context.Context, content Content) error {
	value, err := encode(content)
	if err != nil {
		return err
	}
	if err := s.renewLease(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	revision, err := s.Client.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: Key, Revision: s.revision}}, Writes: []store.Write{{Key: Key, Value: value, Lease: s.lease}},
	})
	switch {
	case err == nil:
		s.revision = revision
	case errors.Is(err, store.ErrLeaseExpired):
		s.lease = 0
	}
	return err
}

// renewLease renews the lease, or grants another one if there is none.
func (s *Store) renewLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	if s.lease != 0 {
		err := s.Client.RenewLease(ctx, s.lease)
		if !errors.Is(err, store.ErrLeaseExpired) {
			return err
		}
	}
	lease, err := s.Client.GrantLease(ctx, leaseTime)
	s.lease = lease
	return err
}

// value is the encoded form of Content. Fields may be added.
type value struct {
	Requests []crash   `msgpack:"r,omitempty"`
	Parts    []crash   `msgpack:"p,omitempty"`
	Brittle  []Brittle `msgpack:"b,omitempty"`
}

// crash is the encoded form of a crash. Fields may be added.
type crash struct {
	Request  []byte `msgpack:"r"`
	Endpoint string `msgpack:"e"`
	// Age is the number of milliseconds since the crash.
	Age int64 `msgpack:"g"`
	// AnsweredBefore is set if the request had got a complete response shortly before.
	AnsweredBefore bool `msgpack:"b,omitempty"`
}

func encode(content Content) ([]byte, error) {
	encoded, err := msgpack.Marshal(&value{Requests: encodeCrashes(content.Requests), Parts: encodeCrashes(content.Parts), Brittle: content.Brittle})
	if err != nil {
		return nil, fmt.Errorf("evidence: %w", err)
	}
	return append([]byte{version}, encoded...), nil
}

func encodeCrashes(crashes []quarantine.Crash) []crash {
	encoded := make([]crash, 0, len(crashes))
	for _, known := range crashes {
		encoded = append(encoded, crash{
			Request: known.Request[:], Endpoint: known.Endpoint, Age: known.Age.Milliseconds(), AnsweredBefore: known.AnsweredBefore,
		})
	}
	return encoded
}

func decode(stored []byte) (Content, error) {
	if len(stored) == 0 || stored[0] != version {
		return Content{}, ErrUnreadable
	}
	var read value
	if err := messagepack.Unmarshal(stored[1:], &read); err != nil {
		return Content{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	requests, err := decodeCrashes(read.Requests)
	if err != nil {
		return Content{}, err
	}
	parts, err := decodeCrashes(read.Parts)
	return Content{Requests: requests, Parts: parts, Brittle: read.Brittle}, err
}

func decodeCrashes(encoded []crash) ([]quarantine.Crash, error) {
	crashes := make([]quarantine.Crash, 0, len(encoded))
	for _, read := range encoded {
		if len(read.Request) != len(fingerprint.Fingerprint{}) || read.Endpoint == "" || read.Age < 0 {
			return nil, ErrUnreadable
		}
		crashes = append(crashes, quarantine.Crash{
			Request: fingerprint.Fingerprint(read.Request), Endpoint: read.Endpoint, Age: time.Duration(read.Age) * time.Millisecond,
			AnsweredBefore: read.AnsweredBefore,
		})
	}
	return crashes, nil
}
