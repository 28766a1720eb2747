// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package version

import "runtime/debug"

// Number is the version of the source; a build may override it with the linker.
var Number = "0.1.0-dev"

// String returns the program name and version, followed by the first 12 digits of the source revision if the build recorded it.
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
