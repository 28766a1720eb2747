// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import "fmt"

// checkMemory finds instances whose peak memory exceeded the bound, if there is one.
func checkMemory(r *Record) []Finding {
	if r.Bounds.MemoryKB == 0 {
		return nil
	}
	var findings []Finding
	for _, u := range r.Usages {
		if u.PeakKB > r.Bounds.MemoryKB {
			findings = append(findings, Finding{Check: CheckMemory, Text: fmt.Sprintf("%s took %d KB, %d allowed", u.Instance, u.PeakKB, r.Bounds.MemoryKB)})
		}
	}
	return findings
}
