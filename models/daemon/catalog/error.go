// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import (
	"errors"
	"fmt"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// ErrModelNotExist reports a model name that no adapter or service has.
type ErrModelNotExist struct {
	Name string
}

// Error describes the missing model.
func (e ErrModelNotExist) Error() string {
	return fmt.Sprintf("no adapter or service is named %q", e.Name)
}

// ErrVersionNotExist reports a version that does not exist or is retired.
type ErrVersionNotExist struct {
	Ref fleet.AdapterRef
}

// Error describes the missing version.
func (e ErrVersionNotExist) Error() string {
	return fmt.Sprintf("adapter %q has no version %d in service", e.Ref.Name, e.Ref.Version)
}

// ErrBadChange reports a change that the present configuration does not allow.
type ErrBadChange struct {
	Index  int
	Kind   ChangeKind
	Name   string
	Reason string
}

// Error describes the change that was refused.
func (e ErrBadChange) Error() string {
	return fmt.Sprintf("change %d (%s %s): %s", e.Index+1, e.Kind, e.Name, e.Reason)
}

// ErrRevisionConflict reports a change based on a revision that another operator's change followed.
type ErrRevisionConflict struct {
	BasedOn  int64
	Current  int64
	Operator string
	Summary  string
}

// Error names the other operator's change.
func (e ErrRevisionConflict) Error() string {
	return fmt.Sprintf("based on revision %d, but revision %d by %q came first: %s", e.BasedOn, e.Current, e.Operator, e.Summary)
}

// IsErrRevisionConflict tells whether an error is an ErrRevisionConflict.
func IsErrRevisionConflict(err error) bool {
	var e ErrRevisionConflict
	return errors.As(err, &e)
}
