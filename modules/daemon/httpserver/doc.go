// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package httpserver serves go-zero's rest routes on a given listener, without the middlewares that respond by themselves or buffer
// responses.
//
// The entry program uses routers/entry/gateway instead: it does not link go-zero, which would cost memory on each of its instances, and it
// bounds idle connections and headers by a configuration that changes at run time. A Server owns its listener. New raises go-zero's delay
// before a forced exit, for the whole process. Serve runs on the goroutine of its caller, and net/http starts a goroutine for each
// connection.
package httpserver
