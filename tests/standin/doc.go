// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package standin acts out, for the demo and the tests only, what the daemon meets outside: model
// engines, plain services, the platform's key-value service, its list of instances, the weight
// store, and callers. It is not one with platformstandin, which acts out the platform of the entry
// program: the two differ in every protocol, and this one's store is etcd's HTTP/JSON form. Each
// cluster serves on loopback ports in goroutines that end with Close.
package standin
