// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import "slices"

// SoftwareRevision returns a number that changes whenever the result of Software may have changed.
func (d *Directory) SoftwareRevision() uint64 {
	return d.softwareRevision
}

// Software returns which softwares the endpoints of each service run, sorted. An empty software is one that is not known.
func (d *Directory) Software() map[string][]string {
	running := make(map[string][]string, len(d.byService))
	for service, endpoints := range d.byService {
		var softwares []string
		for _, endpoint := range endpoints {
			softwares = append(softwares, endpoint.Software)
		}
		slices.Sort(softwares)
		running[service] = slices.Compact(softwares)
	}
	return running
}

// RunsOnly reports whether all endpoints of a service run a software, and there are any.
func (d *Directory) RunsOnly(service, software string) bool {
	if d.software == nil || d.knownSoftwareRevision != d.softwareRevision {
		d.software, d.knownSoftwareRevision = d.Software(), d.softwareRevision
	}
	running := d.software[service]
	return len(running) == 1 && running[0] == software
}
