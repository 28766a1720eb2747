// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "time"

// Limits holds the limits for callers' requests to one instance.
type Limits struct {
	// MaxBodyBytes bounds the body of a request, MaxRequests the number of concurrent requests.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	MaxRequests  int   `json:"max_requests"`
	// RetryShare is the fraction of all requests that may be retried, from 0 to 1, and MaxAttempts the maximum number of attempts for a request.
	RetryShare  float64 `json:"retry_share"`
	MaxAttempts int     `json:"max_attempts"`
	// DefaultWait is the maximum waiting time before a request starts, if the caller sets no deadline.
	DefaultWait Duration `json:"default_wait"`
	// SlowReader is the maximum time for which a caller may read no data, EndpointSilent that for which an endpoint may send no data.
	SlowReader     Duration `json:"slow_reader"`
	EndpointSilent Duration `json:"endpoint_silent"`
	// DrainLimit bounds the time of a planned stop. Before that, the instance reports itself as not ready for the time of LeaveNotice, so that
	// the load balancer stops sending requests.
	DrainLimit  Duration `json:"drain_limit"`
	LeaveNotice Duration `json:"leave_notice"`
	// OutputTokens is the assumed number of output tokens of a request that sets no limit. BytesPerToken is used to estimate the number of
	// tokens in a prompt.
	OutputTokens  int `json:"output_tokens"`
	BytesPerToken int `json:"bytes_per_token"`
}

// defaultLimits returns the defaults.
//
//nolint:mnd // The fields name the numbers.
func defaultLimits() Limits {
	return Limits{
		MaxBodyBytes:   4 << 20,
		MaxRequests:    8000,
		RetryShare:     0.1,
		MaxAttempts:    3,
		DefaultWait:    Duration(60 * time.Second),
		SlowReader:     Duration(30 * time.Second),
		EndpointSilent: Duration(60 * time.Second),
		DrainLimit:     Duration(10 * time.Minute),
		LeaveNotice:    Duration(2 * time.Second),
		OutputTokens:   256,
		BytesPerToken:  4,
	}
}

// check reports values that are out of range.
//
//nolint:mnd // The names of the settings explain the bounds.
func (l Limits) check(d *document) {
	checkRange(d, "limits.max_body_bytes", int(l.MaxBodyBytes), 1<<10, 64<<20)
	checkRange(d, "limits.max_requests", l.MaxRequests, 1, 1_000_000)
	checkRange(d, "limits.retry_share", l.RetryShare, 0, 1)
	checkRange(d, "limits.max_attempts", l.MaxAttempts, 1, 10)
	checkRange(d, "limits.output_tokens", l.OutputTokens, 1, 1_000_000)
	checkRange(d, "limits.bytes_per_token", l.BytesPerToken, 1, 64)
	checkDurations(d, "limits", map[string]Duration{
		"default_wait": l.DefaultWait, "slow_reader": l.SlowReader, "endpoint_silent": l.EndpointSilent,
		"drain_limit": l.DrainLimit, "leave_notice": l.LeaveNotice,
	})
}
