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

// Question requests a peer's part of the result of an operators' query.
type Question struct {
	Table string `msgpack:"t"`
	// HallWide requests that the receiver collects the answers of all instances of its hall.
	HallWide bool   `msgpack:"h"`
	Key      string `msgpack:"k"`
}

// Answer is a peer's part of the result of a query.
type Answer struct {
	// Rows holds the rows as JSON.
	Rows []byte `msgpack:"r"`
	// Silent lists the instances that did not answer.
	Silent []string `msgpack:"s"`
}

// pushResponse is the response type of the Push stream; no response is ever sent.
type pushResponse struct{}

// handler receives the messages of the service.
type handler interface {
	receive(fleet.Envelope)
	answer(ctx context.Context, q Question) (Answer, error)
}

var serviceDescription = grpc.ServiceDesc{
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
