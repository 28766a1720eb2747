// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerlink

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/grpc/encoding"

	"github.com/shelfledge/shelfledge/modules/messagepack"
)

// codecName is the gRPC content subtype of all calls and streams between instances.
const codecName = "msgpack"

type codec struct{}

// Marshal implements encoding.Codec.
func (codec) Marshal(v any) ([]byte, error) {
	data, err := msgpack.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return data, nil
}

// Unmarshal implements encoding.Codec.
func (codec) Unmarshal(data []byte, v any) error {
	if err := messagepack.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

// Name implements encoding.Codec.
func (codec) Name() string { return codecName }

func init() {
	encoding.RegisterCodec(codec{})
}
