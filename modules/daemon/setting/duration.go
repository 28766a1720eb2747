// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time in settings, written with its unit, such as "250ms".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf(`a time is written with its unit, such as "250ms"`)
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf(`%q is no time; one is written with its unit, such as "250ms"`, text)
	}
	*d = Duration(v)
	return nil
}

// Duration gives the time in the language's own type.
func (d Duration) Duration() time.Duration {
	return time.Duration(d)
}
