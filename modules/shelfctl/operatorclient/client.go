// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package operatorclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"

	"github.com/shelfledge/shelfledge/modules/bounded"
	"github.com/shelfledge/shelfledge/routers/daemon/operator"
)

// maxResponseBytes bounds a daemon's response, in bytes. A higher value allows longer listings, a lower one bounds the memory.
const maxResponseBytes = 64 << 20

// Options configures a Client.
type Options struct {
	// Addresses are the daemons' operator listeners, in the order in which they are tried.
	Addresses []netip.AddrPort
	// Key is sent as the bearer token.
	Key string
	// TLS selects the https scheme; HTTP then needs a transport with the TLS configuration.
	TLS  bool
	HTTP *http.Client
	// Wait is how long a daemon waits for a change to be in force in every hall before it answers.
	Wait time.Duration
	// Rounds is how many times the list of addresses is tried; values below 1 count as 1.
	Rounds int
}

// ErrNoDaemon reports that no daemon gave a final answer.
type ErrNoDaemon struct {
	// Reason describes the failure of the last attempt.
	Reason string
	// Sent is true if a daemon may have executed the statements.
	Sent bool
}

// Error implements error.
func (e ErrNoDaemon) Error() string {
	return "no daemon answered: " + e.Reason
}

// IsErrNoDaemon reports whether err is an ErrNoDaemon.
func IsErrNoDaemon(err error) bool {
	var e ErrNoDaemon
	return errors.As(err, &e)
}

// Client sends operators' statements to daemons; it is safe for concurrent use.
type Client struct {
	options Options
}

// New returns a client with the given options.
func New(o Options) *Client {
	return &Client{options: o}
}

// roundPause is the wait between two rounds over all addresses.
const roundPause = 300 * time.Millisecond

// Run sends the statements in text to the addresses in turn until a daemon gives a final answer. All attempts carry the same request
// identifier, so that a retry at another daemon does not apply a change twice. Run returns ErrNoDaemon if no daemon answered; an error
// that a daemon reports is in the response.
func (c *Client) Run(ctx context.Context, text string) (operator.RunResponse, error) {
	in := operator.RunRequest{Text: text, ID: uuid.NewString(), WaitMS: c.options.Wait.Milliseconds()}
	lastErr := ErrNoDaemon{Reason: "no address is given"}
	for round := range max(1, c.options.Rounds) {
		if round > 0 {
			time.Sleep(roundPause)
		}
		for _, address := range c.options.Addresses {
			out, err := c.send(ctx, address, in)
			if err == nil && !isRetryable(out) {
				return out, nil
			}
			if ctx.Err() != nil {
				return out, ErrNoDaemon{Reason: ctx.Err().Error(), Sent: true}
			}
			if err == nil {
				lastErr = ErrNoDaemon{Reason: out.Error.Message, Sent: lastErr.Sent || out.Error.Kind == operator.KindUnsettled}
				if round == max(1, c.options.Rounds)-1 {
					return out, nil
				}
				continue
			}
			lastErr = ErrNoDaemon{Reason: fmt.Sprintf("%s: %s", address, err), Sent: true}
		}
	}
	return operator.RunResponse{}, lastErr
}

// isRetryable reports whether another daemon or a later attempt may succeed where this response reports an error.
func isRetryable(r operator.RunResponse) bool {
	return r.Error != nil && (r.Error.Kind == operator.KindUnavailable || r.Error.Kind == operator.KindUnsettled)
}

func (c *Client) send(ctx context.Context, address netip.AddrPort, in operator.RunRequest) (operator.RunResponse, error) {
	var out operator.RunResponse
	body, err := json.Marshal(in)
	if err != nil {
		return out, fmt.Errorf("encode request: %w", err)
	}
	scheme := "http"
	if c.options.TLS {
		scheme = "https"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+"://"+address.String()+"/operator/v1/run", bytes.NewReader(body))
	if err != nil {
		return out, fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.options.Key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.options.HTTP.Do(req)
	if err != nil {
		return out, fmt.Errorf("send: %w", err)
	}
	// An error of Close is ignored: the response has been decoded by then.
	defer func() { _ = resp.Body.Close() }()
	content, err := bounded.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return out, fmt.Errorf("read response with status %q: %w", resp.Status, err)
	}
	if err := json.Unmarshal(content, &out); err != nil {
		return out, fmt.Errorf("decode response with status %q: %w", resp.Status, err)
	}
	return out, nil
}
