// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// maxSoftwareAge is the age of what is known about the endpoints from which on a software may have come and left unseen. A higher value bridges
// longer outages of the store, a lower one assumes less.
const maxSoftwareAge = 20 * time.Second

// softwareObservation is what the observer of softwares was told last.
type softwareObservation struct {
	// revision is that of the directory, interrupted that its softwares are too old to be relied on.
	revision    uint64
	interrupted bool
}

// observeSoftware passes on which softwares the endpoints run if that has changed. It is called before an endpoint is chosen, so that no
// request reaches an endpoint whose software was not passed on.
func (c *Coordinator) observeSoftware(now time.Time) {
	if !c.endpointsKnown || c.options.ObserveSoftware == nil {
		return
	}
	observed := softwareObservation{revision: c.directory.SoftwareRevision(), interrupted: c.endpointsAge(now) > maxSoftwareAge}
	if observed == c.observedSoftware {
		return
	}
	c.observedSoftware = observed
	c.options.ObserveSoftware(now, c.directory.Software())
	if observed.interrupted {
		c.options.InterruptSoftware()
	}
}

// boundSoftware returns the only software that may run a request, or an empty one where that excludes no endpoint: the request is then like any
// other.
func (c *Coordinator) boundSoftware(request *deployment.Request) string {
	if c.directory.RunsOnly(request.Service, request.Software) {
		return ""
	}
	return request.Software
}
