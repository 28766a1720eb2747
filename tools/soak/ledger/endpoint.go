// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"fmt"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
)

// contact is how long the store and an instance must have been undisrupted before an acknowledgement for a bound from that
// acknowledgement to hold. The platform uses the same time.
const contact = 3 * time.Second

// boundHolds reports whether a bound from an acknowledgement holds for a run: neither the store nor the instance that sent the run was
// disrupted between contact before the acknowledgement and the run.
func (r *Record) boundHolds(event platformstandin.RunEvent, acknowledged time.Time) bool {
	if r.disrupted("", acknowledged.Add(-contact), event.At, StoreFault) {
		return false
	}
	for _, a := range r.Attempts {
		if a.ID == event.ID {
			return !r.disrupted(a.Instance, acknowledged.Add(-contact), event.At, Freeze, StoreFault)
		}
	}
	return true
}

func checkDeparted(r *Record) []Finding {
	var findings []Finding
	for _, left := range r.Departures {
		for _, event := range r.Runs {
			if event.Phase != platformstandin.RunBegan || event.Endpoint != left.Endpoint {
				continue
			}
			if late := event.At.Sub(left.Acknowledged); late > r.Bounds.Drain+r.lag(left.Acknowledged, event.At) && r.boundHolds(event, left.Acknowledged) {
				findings = append(findings, Finding{CheckDeparted, event.ID, fmt.Sprintf("%s began it %s after it had said that it leaves", event.Endpoint, late)})
			}
		}
	}
	return findings
}

func checkVersion(r *Record) []Finding {
	var findings []Finding
	for _, named := range r.Namings {
		for _, event := range r.Runs {
			if event.Phase != platformstandin.RunBegan || event.Adapter != named.Adapter || event.Version >= named.Version {
				continue
			}
			if late := event.At.Sub(named.Acknowledged); late > r.Bounds.Version+r.lag(named.Acknowledged, event.At) && r.boundHolds(event, named.Acknowledged) {
				findings = append(findings, Finding{CheckVersion, event.ID, fmt.Sprintf("%s began %s@%d %s after version %d was named",
					event.Endpoint, event.Adapter, event.Version, late, named.Version)})
			}
		}
	}
	return findings
}

func checkEndpoint(r *Record) []Finding {
	var findings []Finding
	for _, text := range r.EndpointViolations {
		findings = append(findings, Finding{Check: CheckEndpoint, Text: text})
	}
	return findings
}

func checkPlaces(r *Record) []Finding {
	if r.Overfull == 0 {
		return nil
	}
	return []Finding{{Check: CheckPlaces, Text: fmt.Sprintf("%d orders", r.Overfull)}}
}
