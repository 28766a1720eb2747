// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import "strings"

// maxNameLength limits the length of the name of an adapter, service or rule, in bytes.
const maxNameLength = 200

// validName reports whether a name has an allowed length and consists of ASCII letters, digits and the characters ._/- only. A name
// must not contain the @ of adapter@version or the space that separates the words of a statement.
func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, r := range name {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("._/-", r)
		if !ok {
			return false
		}
	}
	return true
}
