// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package messagepack_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shelfledge/shelfledge/modules/messagepack"
)

const (
	// largeBytes is more than is decoded at any time, smallBytes less.
	largeBytes = 2 << 20
	smallBytes = 1 << 10
	// decodedWithin is how long a decoding may take, notDecodedFor how long the test waits for one that must not begin.
	decodedWithin = 10 * time.Second
	notDecodedFor = 200 * time.Millisecond
)

// stoppable tells that its decoding has begun and goes on when it is released.
type stoppable struct {
	begun    chan<- struct{}
	released <-chan struct{}
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *stoppable) DecodeMsgpack(decoder *msgpack.Decoder) error {
	s.begun <- struct{}{}
	<-s.released
	_, err := decoder.DecodeBytes()
	return err
}

// TestLargeEncodingsAreDecodedInTurn guards against several large messages whose memory is needed at once, and against a small one that waits for
// a large one.
func TestLargeEncodingsAreDecodedInTurn(t *testing.T) {
	t.Parallel()
	const count = 3
	large, err := msgpack.Marshal(make([]byte, largeBytes))
	require.NoError(t, err)
	small, err := msgpack.Marshal(make([]byte, smallBytes))
	require.NoError(t, err)
	begun, released, ended := make(chan struct{}, count), make(chan struct{}), make(chan error, count)
	for range count {
		go func() { ended <- messagepack.Unmarshal(large, &stoppable{begun: begun, released: released}) }()
	}
	for left := range count {
		select {
		case <-begun:
		case <-time.After(decodedWithin):
			require.Fail(t, "no decoding begins")
		}
		time.Sleep(notDecodedFor)
		require.Empty(t, begun, "a second decoding has begun")
		var content []byte
		require.NoError(t, messagepack.Unmarshal(small, &content))
		assert.Len(t, content, smallBytes)
		released <- struct{}{}
		require.NoError(t, <-ended, left)
	}
}
