// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"fmt"
	"strconv"
	"strings"
)

// AdapterRef names one immutable version of one adapter.
type AdapterRef struct {
	Name    string
	Version int
}

// ErrBadAdapterRef reports a text that is no adapter@version.
type ErrBadAdapterRef struct {
	Text string
}

// Error describes the malformed reference.
func (e ErrBadAdapterRef) Error() string {
	return fmt.Sprintf("%q is not of the form adapter@version", e.Text)
}

// String gives the engine's name of the version, adapter@version.
func (r AdapterRef) String() string {
	return r.Name + "@" + strconv.Itoa(r.Version)
}

// IsZero tells whether the reference names nothing, as for calls to plain services.
func (r AdapterRef) IsZero() bool {
	return r.Name == ""
}

// ParseAdapterRef reads adapter@version and returns ErrBadAdapterRef for any other text.
func ParseAdapterRef(text string) (AdapterRef, error) {
	at := strings.LastIndexByte(text, '@')
	if at <= 0 {
		return AdapterRef{}, ErrBadAdapterRef{Text: text}
	}
	version, err := strconv.Atoi(text[at+1:])
	if err != nil || version < 1 {
		return AdapterRef{}, ErrBadAdapterRef{Text: text}
	}
	return AdapterRef{Name: text[:at], Version: version}, nil
}
