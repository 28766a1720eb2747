// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// Role is the permission level of an operator. Each role includes the permissions of all lower roles.
type Role int

// The roles, from the lowest to the highest.
const (
	RoleNone Role = iota
	RoleRead
	RoleChange
	RoleAdmin
)

// ParseRole returns the role with the given name, or RoleNone if the name is unknown.
func ParseRole(name string) Role {
	return map[string]Role{"read": RoleRead, "change": RoleChange, "admin": RoleAdmin}[name]
}

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"none", "read", "change", "admin"}[r]
}

// Operator identifies an operator and its role.
type Operator struct {
	Name string
	Role Role
}

// Key is the key of one operator. It holds the hash of the key, not the key itself.
type Key struct {
	Operator Operator
	// SHA256 is the SHA-256 hash of the key in hexadecimal digits.
	SHA256 string
}

// ErrDenied reports a missing or unknown key, or an operator whose role does not permit the operation.
type ErrDenied struct {
	Reason string
}

// Error returns the reason. The text never contains the key.
func (e ErrDenied) Error() string { return "denied: " + e.Reason }

// IsErrDenied reports whether err is an ErrDenied.
func IsErrDenied(err error) bool {
	var e ErrDenied
	return errors.As(err, &e)
}

// ErrTooManyFailures reports that the client address has too many recent authentication failures.
type ErrTooManyFailures struct {
	RetryAfter time.Duration
}

// Error returns a message that contains the time to wait.
func (e ErrTooManyFailures) Error() string {
	return fmt.Sprintf("too many failed attempts; try again in %s", e.RetryAfter.Round(time.Second))
}

// IsErrTooManyFailures reports whether err is an ErrTooManyFailures.
func IsErrTooManyFailures(err error) bool {
	var e ErrTooManyFailures
	return errors.As(err, &e)
}

// Service authenticates and authorizes operators. It is safe for concurrent use.
type Service struct {
	keys        []hashedKey
	maxFailures int
	mutex       sync.Mutex
	failures    map[netip.Addr]*failures
}

type hashedKey struct {
	operator Operator
	hash     []byte
}

// failures counts the failed attempts of one address in the window that begins at windowStart.
type failures struct {
	windowStart time.Time
	count       int
}

const (
	// failureWindow is the time, from the first failure of an address, in which its failures are counted together. It must be a
	// minute, since the setting failures_per_minute is given in that unit.
	failureWindow = time.Minute
	// maxTrackedAddresses limits the number of addresses whose failures are counted, so that failures from very many addresses
	// cannot exhaust the memory. A higher limit keeps the counts for longer under such a flood.
	maxTrackedAddresses = 10000
)

// New returns a service that blocks an address after failuresPerMinute failures within a minute. It returns ErrDenied if the
// hash of a key is invalid.
func New(keys []Key, failuresPerMinute int) (*Service, error) {
	s := &Service{maxFailures: failuresPerMinute, failures: make(map[netip.Addr]*failures)}
	for _, k := range keys {
		hash, err := hex.DecodeString(k.SHA256)
		if err != nil || len(hash) != sha256.Size {
			return nil, ErrDenied{Reason: "the hash of an operator's key is not a SHA-256 hash in hexadecimal digits"}
		}
		s.keys = append(s.keys, hashedKey{operator: k.Operator, hash: hash})
	}
	return s, nil
}

// Authorize returns the operator that the key belongs to, if its role is at least need. It returns ErrTooManyFailures if the address has
// too many failures, even with a valid key, and ErrDenied if the key is unknown or the role too low. Only an unknown key
// counts as a failure.
func (s *Service) Authorize(now time.Time, from netip.Addr, key string, need Role) (Operator, error) {
	if wait := s.blockedFor(now, from); wait > 0 {
		return Operator{}, ErrTooManyFailures{RetryAfter: wait}
	}
	hash := sha256.Sum256([]byte(key))
	found := Operator{}
	for _, k := range s.keys {
		if subtle.ConstantTimeCompare(hash[:], k.hash) == 1 {
			found = k.operator
		}
	}
	if key == "" || found.Role == RoleNone {
		s.recordFailure(now, from)
		return Operator{}, ErrDenied{Reason: "no such key"}
	}
	if found.Role < need {
		return found, ErrDenied{Reason: fmt.Sprintf("operator %s may %s, and this needs %s", found.Name, found.Role, need)}
	}
	return found, nil
}

// blockedFor returns how long an address remains blocked, or zero if it is not blocked.
func (s *Service) blockedFor(now time.Time, from netip.Addr) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f := s.failures[from]
	if f == nil || now.Sub(f.windowStart) > failureWindow || f.count < s.maxFailures {
		return 0
	}
	return failureWindow - now.Sub(f.windowStart)
}

// recordFailure counts a failure of an address.
func (s *Service) recordFailure(now time.Time, from netip.Addr) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.failures) >= maxTrackedAddresses {
		s.pruneFailures(now)
	}
	f := s.failures[from]
	if f == nil || now.Sub(f.windowStart) > failureWindow {
		f = &failures{windowStart: now}
		s.failures[from] = f
	}
	f.count++
}

// pruneFailures removes expired failure counts. If the address limit is still reached, it removes all counts.
func (s *Service) pruneFailures(now time.Time) {
	for a, f := range s.failures {
		if now.Sub(f.windowStart) > failureWindow {
			delete(s.failures, a)
		}
	}
	if len(s.failures) >= maxTrackedAddresses {
		clear(s.failures)
	}
}
