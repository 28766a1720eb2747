// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"fmt"
	"strconv"
	"strings"
)

// AdapterRef identifies a version of an adapter.
type AdapterRef struct {
	Name    string
	Version int
}

// ErrBadAdapterRef reports a text that is not of the form adapter@version.
type ErrBadAdapterRef struct {
	Text string
}

// Error implements error.
func (e ErrBadAdapterRef) Error() string {
	return fmt.Sprintf("%q is not of the form adapter@version", e.Text)
}

// String returns adapter@version, which is the name that the engine uses for the version.
func (r AdapterRef) String() string {
	return r.Name + "@" + strconv.Itoa(r.Version)
}

// IsZero reports whether the reference names no adapter, as in a request to a plain service.
func (r AdapterRef) IsZero() bool {
	return r.Name == ""
}

// ParseAdapterRef parses adapter@version, with a version of 1 or more. It returns ErrBadAdapterRef for any other text.
func ParseAdapterRef(text string) (AdapterRef, error) {
	separator := strings.LastIndexByte(text, '@')
	if separator <= 0 {
		return AdapterRef{}, ErrBadAdapterRef{Text: text}
	}
	version, err := strconv.Atoi(text[separator+1:])
	if err != nil || version < 1 {
		return AdapterRef{}, ErrBadAdapterRef{Text: text}
	}
	return AdapterRef{Name: text[:separator], Version: version}, nil
}
