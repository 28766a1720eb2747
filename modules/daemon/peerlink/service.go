// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerlink

import (
	"context"

	"google.golang.org/grpc"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

const (
	serviceName = "shelfledge.Peer"
	pushMethod  = "/" + serviceName + "/Push"
	askMethod   = "/" + serviceName + "/Ask"
)

// Question asks a peer for its part of an operators' query.
type Question struct {
	Table string `msgpack:"t"`
	// HallWide asks the receiver to gather the answers of its whole hall.
	HallWide bool   `msgpack:"h"`
	Key      string `msgpack:"k"`
}

// Answer is a peer's part: rows as JSON, and which instances did not answer.
type Answer struct {
	Rows   []byte   `msgpack:"r"`
	Silent []string `msgpack:"s"`
}

type pushed struct{}

// handler is what the service calls.
type handler interface {
	receive(fleet.Envelope)
	answer(ctx context.Context, q Question) (Answer, error)
}

var description = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*handler)(nil),
	Streams:     []grpc.StreamDesc{{StreamName: "Push", Handler: servePush, ClientStreams: true}},
	Methods:     []grpc.MethodDesc{{MethodName: "Ask", Handler: serveAsk}},
}

func servePush(srv any, stream grpc.ServerStream) error {
	for {
		var e fleet.Envelope
		if err := stream.RecvMsg(&e); err != nil {
			return err
		}
		srv.(handler).receive(e)
	}
}

func serveAsk(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
	var q Question
	if err := decode(&q); err != nil {
		return nil, err
	}
	a, err := srv.(handler).answer(ctx, q)
	return &a, err
}
