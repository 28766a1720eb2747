// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package instancelist_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/bounded"
	"github.com/shelfledge/shelfledge/modules/daemon/instancelist"
	"github.com/shelfledge/shelfledge/tests/endless"
)

// maxAnswerBytes is how many bytes of a list are read.
const maxAnswerBytes = 4 << 20

// TestReadGivesUpListWithoutEnd guards against a list of instances that takes a daemon's memory.
func TestReadGivesUpListWithoutEnd(t *testing.T) {
	for name, answer := range endless.Bodies(`{"entries":[`, `{"name":"i1"},`) {
		t.Run(name, func(t *testing.T) {
			server := endless.Start(t, answer)
			reader := instancelist.Reader{Address: server.Address, Timeout: endless.CallTime, Client: &http.Client{}}
			started := time.Now()
			_, err := reader.Read(t.Context())
			require.Equal(t, instancelist.ErrListUnavailable{Reason: bounded.ErrTooLong.Error()}, err)
			require.Less(t, time.Since(started), endless.JudgedWithin)
			server.RequireGivenUp(t, maxAnswerBytes)
		})
	}
}
