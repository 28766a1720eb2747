// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package httpserver serves go-zero's rest routes on a listener of the caller's choice, without the middlewares that
// answer by themselves or buffer answers.
//
// The entry program has routers/entry/gateway in its place: it does not link go-zero, which would cost memory on each
// of its instances, and it bounds idle connections and headers by a configuration that changes while it runs. A Server
// owns its listener; New raises go-zero's time to force an end for the whole process. Serve runs on its caller's
// goroutine, and net/http starts one for each connection.
package httpserver
