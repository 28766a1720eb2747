// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package asynclog writes log lines without ever blocking the caller. Lines above a rate limit, and lines that exceed the queue for a slow
// output in number or bytes, are counted and reported in a summary line.
//
// A Writer owns the queue of lines. The caller provides the output and the format of the lines. Each Writer starts one goroutine, which
// ends with Close.
//
// The daemon uses modules/daemon/log instead, which captures the logs of go-zero and gRPC and so links both. The entry program links
// neither and must not wait for its log output.
package asynclog
