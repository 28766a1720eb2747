// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package version

import "runtime/debug"

// Number is the version of the source; builds may set it.
var Number = "0.1.0-dev"

// String gives the version with the revision of the source, where the build knows it.
func String() string {
	revision := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" && len(s.Value) >= 12 {
				revision = " " + s.Value[:12]
			}
		}
	}
	return "shelfledge " + Number + revision
}
