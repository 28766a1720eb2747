// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package access_test

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/daemon/access"
)

var (
	start         = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	clientAddress = netip.MustParseAddr("127.0.0.1")
	otherAddress  = netip.MustParseAddr("127.0.0.2")
)

const allowedFailures = 3

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func newService(t *testing.T) *access.Service {
	t.Helper()
	s, err := access.New([]access.Key{
		{Operator: access.Operator{Name: "ana", Role: access.RoleAdmin}, SHA256: hashOf("key-a")},
		{Operator: access.Operator{Name: "ben", Role: access.RoleRead}, SHA256: hashOf("key-b")},
		{Operator: access.Operator{Name: "nil", Role: access.RoleNone}, SHA256: hashOf("key-n")},
		{Operator: access.Operator{Name: "empty", Role: access.RoleAdmin}, SHA256: hashOf("")},
	}, allowedFailures)
	require.NoError(t, err)
	return s
}

func failAttempts(t *testing.T, s *access.Service, now time.Time, from netip.Addr, times int) {
	t.Helper()
	for range times {
		_, err := s.Authorize(now, from, "wrong", access.RoleRead)
		require.True(t, access.IsErrDenied(err))
	}
}

func TestRoleIncludesLowerRoles(t *testing.T) {
	s := newService(t)
	for _, need := range []access.Role{access.RoleRead, access.RoleChange, access.RoleAdmin} {
		found, err := s.Authorize(start, clientAddress, "key-a", need)
		require.NoError(t, err)
		require.Equal(t, "ana", found.Name)
	}
	_, err := s.Authorize(start, clientAddress, "key-b", access.RoleRead)
	require.NoError(t, err)
}

func TestInsufficientRoleIsDeniedWithoutCountingFailure(t *testing.T) {
	s := newService(t)
	for range allowedFailures + 1 {
		found, err := s.Authorize(start, clientAddress, "key-b", access.RoleChange)
		require.True(t, access.IsErrDenied(err))
		require.Equal(t, "ben", found.Name)
	}
	_, err := s.Authorize(start, clientAddress, "key-b", access.RoleRead)
	require.NoError(t, err)
}

func TestUnknownEmptyAndRolelessKeysAreDenied(t *testing.T) {
	for _, key := range []string{"wrong", "", "key-n", "key-a "} {
		found, err := newService(t).Authorize(start, clientAddress, key, access.RoleNone)
		require.True(t, access.IsErrDenied(err), "%q", key)
		require.Zero(t, found)
	}
}

func TestAddressIsBlockedAfterTooManyFailuresEvenWithValidKey(t *testing.T) {
	s := newService(t)
	failAttempts(t, s, start, clientAddress, allowedFailures-1)
	_, err := s.Authorize(start, clientAddress, "key-a", access.RoleRead)
	require.NoError(t, err, "one failure below the limit must not block")
	failAttempts(t, s, start.Add(10*time.Second), clientAddress, 1)
	_, err = s.Authorize(start.Add(20*time.Second), clientAddress, "key-a", access.RoleRead)
	require.Equal(t, access.ErrTooManyFailures{RetryAfter: 40 * time.Second}, err)
	_, err = s.Authorize(start.Add(20*time.Second), otherAddress, "key-a", access.RoleRead)
	require.NoError(t, err, "another address must not be blocked")
}

func TestFailureCountExpiresOneMinuteAfterFirstFailure(t *testing.T) {
	s := newService(t)
	failAttempts(t, s, start, clientAddress, allowedFailures)
	_, err := s.Authorize(start.Add(time.Minute-1), clientAddress, "key-a", access.RoleRead)
	require.True(t, access.IsErrTooManyFailures(err))
	after := start.Add(time.Minute + 1)
	failAttempts(t, s, after, clientAddress, allowedFailures-1)
	_, err = s.Authorize(after, clientAddress, "key-a", access.RoleRead)
	require.NoError(t, err, "a new window must start with a count of zero")
}

func TestAddressLimitDropsExpiredFailuresFirst(t *testing.T) {
	s := newService(t)
	failAttempts(t, s, start, clientAddress, allowedFailures)
	now := start.Add(time.Minute + 1)
	failAttempts(t, s, now, otherAddress, allowedFailures)
	address := netip.MustParseAddr("10.0.0.0")
	for range 9998 {
		address = address.Next()
		failAttempts(t, s, now, address, 1)
	}
	failAttempts(t, s, now, address.Next(), 1)
	_, err := s.Authorize(now, otherAddress, "key-a", access.RoleRead)
	require.True(t, access.IsErrTooManyFailures(err), "failures from the last minute must be kept")
}

func TestNewRejectsInvalidKeyHash(t *testing.T) {
	for _, hash := range []string{"", "zz", hashOf("x")[:62]} {
		_, err := access.New([]access.Key{{SHA256: hash}}, allowedFailures)
		require.True(t, access.IsErrDenied(err), "%q", hash)
	}
}

func TestParseRoleReadsRoleNames(t *testing.T) {
	for _, role := range []access.Role{access.RoleRead, access.RoleChange, access.RoleAdmin} {
		require.Equal(t, role, access.ParseRole(role.String()))
	}
	for _, name := range []string{"", "none", "Admin", "root"} {
		require.Equal(t, access.RoleNone, access.ParseRole(name), "%q", name)
	}
}
