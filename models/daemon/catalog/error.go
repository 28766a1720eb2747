// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import (
	"errors"
	"fmt"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// ErrModelNotExist reports a model name that is neither an adapter nor a service.
type ErrModelNotExist struct {
	Name string
}

// Error implements error.
func (e ErrModelNotExist) Error() string {
	return fmt.Sprintf("no adapter or service is named %q", e.Name)
}

// ErrVersionNotExist reports a version that does not exist or is retired.
type ErrVersionNotExist struct {
	Ref fleet.AdapterRef
}

// Error implements error.
func (e ErrVersionNotExist) Error() string {
	return fmt.Sprintf("adapter %q has no version %d in service", e.Ref.Name, e.Ref.Version)
}

// ErrBadChange reports a change that the current configuration does not allow.
type ErrBadChange struct {
	// Index is the position of the change in its request, from zero.
	Index  int
	Kind   ChangeKind
	Name   string
	Reason string
}

// Error implements error.
func (e ErrBadChange) Error() string {
	return fmt.Sprintf("change %d (%s %s): %s", e.Index+1, e.Kind, e.Name, e.Reason)
}

// ErrRevisionConflict reports a change based on a revision that is no longer current, since another operator's change was accepted
// after it.
type ErrRevisionConflict struct {
	BasedOn int64
	Current int64
	// Operator and Summary describe the change that made the current revision.
	Operator string
	Summary  string
}

// Error implements error.
func (e ErrRevisionConflict) Error() string {
	return fmt.Sprintf("based on revision %d, but revision %d by %q came first: %s", e.BasedOn, e.Current, e.Operator, e.Summary)
}

// IsErrRevisionConflict reports whether err is an ErrRevisionConflict.
func IsErrRevisionConflict(err error) bool {
	var e ErrRevisionConflict
	return errors.As(err, &e)
}
