// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package standin provides fakes of the daemon's environment, for tests and the demo only: model engines, plain services, the
// platform's key-value service, its list of instances, the weight store, and callers. Package platformstandin provides the fakes
// of the users' platform for the entry program. The two are separate packages because they differ in every protocol; the
// key-value service of this package speaks the HTTP/JSON form of etcd v3. Each cluster serves on loopback ports in goroutines
// that end with Close.
package standin
