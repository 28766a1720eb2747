// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package operatorclient_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/shelfctl/operatorclient"
	"github.com/shelfledge/shelfledge/tests/endless"
)

// maxAnswerBytes is how many bytes of a response are read, and maxHeadBytes how many of its head.
const (
	maxAnswerBytes = 64 << 20
	maxHeadBytes   = 10 << 20
)

// TestRunTriesNextDaemonAfterResponseWithoutEnd guards against a daemon that takes the memory of shelfctl and keeps it from the other daemons.
func TestRunTriesNextDaemonAfterResponseWithoutEnd(t *testing.T) {
	for name, answer := range endless.Heads() {
		t.Run(name, func(t *testing.T) { requireNextDaemonTried(t, answer, maxHeadBytes) })
	}
	for name, answer := range endless.Bodies(`{"operator":"`, "a") {
		t.Run(name, func(t *testing.T) { requireNextDaemonTried(t, answer, maxAnswerBytes) })
	}
}

func requireNextDaemonTried(t *testing.T, answer endless.Answer, maxBytes int) {
	server, next := endless.Start(t, answer), newFakeDaemon(t, "")
	client := operatorclient.New(operatorclient.Options{
		HTTP: &http.Client{Timeout: endless.CallTime, Transport: &http.Transport{}}, Addresses: []netip.AddrPort{server.Address, next.address},
	})
	started := time.Now()
	out, err := client.Run(context.Background(), "show adapters")
	require.NoError(t, err)
	require.Equal(t, "ana", out.Operator)
	require.Less(t, time.Since(started), endless.JudgedWithin)
	server.RequireGivenUp(t, maxBytes)

	alone := operatorclient.New(operatorclient.Options{HTTP: &http.Client{Timeout: endless.CallTime}, Addresses: []netip.AddrPort{server.Address}})
	_, err = alone.Run(context.Background(), "show adapters")
	var failure operatorclient.ErrNoDaemon
	require.ErrorAs(t, err, &failure)
	require.True(t, failure.Sent, "the statements may have been executed")
}
