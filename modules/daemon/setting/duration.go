// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a duration in the settings, written with its unit, such as "250ms".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf(`a duration is a string with a unit, such as "250ms"`)
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf(`%q is not a duration with a unit, such as "250ms"`, text)
	}
	*d = Duration(v)
	return nil
}

// Duration returns d as a time.Duration.
func (d Duration) Duration() time.Duration {
	return time.Duration(d)
}
