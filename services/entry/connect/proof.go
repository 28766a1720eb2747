// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package connect

import (
	"context"
	"fmt"

	"github.com/shelfledge/shelfledge/modules/entry/upstream"
)

// Probe sends a request that runs nothing over a new connection to an endpoint and waits for the answer until the context ends. It reports
// whether the connection may carry another request. An error means that the endpoint did not answer.
type Probe func(ctx context.Context, conn upstream.Connected, target upstream.Target) (reusable bool, err error)

// connectProven opens a connection by a way to an endpoint, and returns it only once the endpoint has answered over that way. An accepted
// connection alone proves nothing: a broken link may accept it and then carry nothing, and the system accepts connections for a process
// that is ending.
func (c *Connector) connectProven(ctx context.Context, target upstream.Target, connect way) (upstream.Connected, error) {
	connected, err := connect(ctx, target)
	if err != nil {
		return upstream.Connected{}, err
	}
	reusable, err := c.options.Probe(ctx, connected, target)
	if err == nil && reusable {
		return connected, nil
	}
	// The connection carries no request, so that an error has no consequence.
	_ = connected.Close()
	if err != nil {
		return upstream.Connected{}, fmt.Errorf("%w: %w", errNotAnswered, err)
	}
	return connect(ctx, target)
}

// dialOwnLink connects over an own link.
func (c *Connector) dialOwnLink(ctx context.Context, target upstream.Target) (upstream.Connected, error) {
	conn, err := c.options.DialEndpoint(ctx, target.Address)
	if err != nil {
		return upstream.Connected{}, err
	}
	return upstream.Connected{Conn: conn}, nil
}
