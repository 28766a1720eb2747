// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package standin acts out, for the demo and the tests only, what the product
// meets outside: model engines, plain services, the platform's key-value service,
// its list of instances and the weight store, each with the faults of the real ones.
package standin
