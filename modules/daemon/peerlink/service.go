// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerlink

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

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
	// maxSilence is how long the next whole message of a stream may take.
	maxSilence() time.Duration
	answer(ctx context.Context, q Question) (Answer, error)
}

var serviceDescription = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*handler)(nil),
	Streams: []grpc.StreamDesc{
		{StreamName: "Push", Handler: servePush, ClientStreams: true},
		{StreamName: "Ask", Handler: serveAsk, ServerStreams: true},
	},
}

// servePush receives until the stream ends, or until no whole message has come for the maximum silence. gRPC then ends the stream, and with it the
// goroutine that reads.
func servePush(srv any, stream grpc.ServerStream) error {
	h := srv.(handler)
	silent := make(chan struct{})
	timer := time.AfterFunc(h.maxSilence(), func() { close(silent) })
	defer timer.Stop()
	ended := make(chan error, 1)
	go func() { ended <- receiveAll(h, stream, timer) }()
	select {
	case err := <-ended:
		return err
	case <-silent:
		return status.Errorf(codes.DeadlineExceeded, "no whole message within %s", h.maxSilence())
	}
}

// receiveAll receives messages until the stream ends, and starts the timer anew after each. A timer that has expired is not started again.
func receiveAll(h handler, stream grpc.ServerStream, timer *time.Timer) error {
	for {
		var e fleet.Envelope
		if err := stream.RecvMsg(&e); err != nil {
			return err
		}
		running := timer.Stop()
		h.receive(e)
		if running {
			timer.Reset(h.maxSilence())
		}
	}
}

// serveAsk answers one question. The method is served as a stream, whose handler runs before the question has arrived as a whole, so that a question
// that does not end, or an answer that is not read, is given up; what is sent is the same as with a method of gRPC.
func serveAsk(srv any, stream grpc.ServerStream) error {
	h := srv.(handler)
	late := make(chan struct{})
	timer := time.AfterFunc(questionTimeout, func() { close(late) })
	defer timer.Stop()
	ended := make(chan error, 1)
	go func() { ended <- exchange(h, stream, timer) }()
	select {
	case err := <-ended:
		return err
	case <-late:
		return status.Error(codes.DeadlineExceeded, "the question or its answer took too long")
	}
}

// exchange receives a question, then starts the timer for the answer and sends it. A timer that has expired is not started again.
func exchange(h handler, stream grpc.ServerStream, timer *time.Timer) error {
	var q Question
	if err := stream.RecvMsg(&q); err != nil {
		return err
	}
	if timer.Stop() {
		timer.Reset(answerTimeout)
	}
	a, err := h.answer(stream.Context(), q)
	if err != nil {
		return err
	}
	return stream.SendMsg(&a)
}
