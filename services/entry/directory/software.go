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

// RunsSeveral reports whether the endpoints of a service run several softwares.
func (d *Directory) RunsSeveral(service string) bool {
	if d.several == nil || d.severalRevision != d.softwareRevision {
		d.several, d.severalRevision = make(map[string]bool), d.softwareRevision
		for name, softwares := range d.Software() {
			d.several[name] = len(softwares) > 1
		}
	}
	return d.several[service]
}
