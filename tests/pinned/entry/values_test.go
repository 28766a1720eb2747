// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry_test

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/platform"
)

// nonZeroScalars returns the text forms of all non-zero scalars in a value, without field names.
func nonZeroScalars(value reflect.Value) []string {
	if !value.IsValid() || value.IsZero() {
		return nil
	}
	switch value.Type() {
	case reflect.TypeFor[time.Duration]():
		return []string{time.Duration(value.Int()).String()}
	case reflect.TypeFor[netip.AddrPort]():
		if value.CanInterface() {
			return []string{fmt.Sprint(value.Interface())}
		}
	}
	var found []string
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		return nonZeroScalars(value.Elem())
	case reflect.Struct:
		for i := range value.NumField() {
			found = append(found, nonZeroScalars(value.Field(i))...)
		}
	case reflect.Slice, reflect.Array:
		for i := range value.Len() {
			found = append(found, nonZeroScalars(value.Index(i))...)
		}
	case reflect.Map:
		for _, key := range value.MapKeys() {
			found = append(append(found, nonZeroScalars(key)...), nonZeroScalars(value.MapIndex(key))...)
		}
	case reflect.String:
		found = append(found, value.String())
	case reflect.Bool:
		found = append(found, "true")
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		found = append(found, fmt.Sprint(value.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		found = append(found, fmt.Sprint(value.Uint()))
	case reflect.Float32, reflect.Float64:
		found = append(found, fmt.Sprint(value.Float()))
	}
	return found
}

// checkValuesRead checks that each value listed in the golden file occurs in the decoded structures. All values of an input
// differ, so a renamed tag makes one value disappear. The list omits values that the program does not use.
func checkValuesRead(t *testing.T, name string, read ...any) {
	t.Helper()
	var found []string
	for _, structure := range read {
		found = append(found, nonZeroScalars(reflect.ValueOf(structure))...)
	}
	for _, value := range strings.Split(string(readTestdata(t, name)), "\n") {
		assert.Contains(t, found, value, "%s: value missing from the decoded structures", name)
	}
}

// TestSettingsAreRead checks which values of the settings file reach the process.
func TestSettingsAreRead(t *testing.T) {
	t.Parallel()
	settings, err := platform.ParseSettings(readTestdata(t, "read_settings.json"))
	require.NoError(t, err)
	checkValuesRead(t, "read_settings.txt", settings.Process(logrus.WarnLevel, 4321))
	weak, err := platform.ParseSettings([]byte(strings.NewReplacer(`"cpu_share": 2`, `"cpu_share": 0.1`, `"link_mbps": 1000`, `"link_mbps": 10`).
		Replace(string(readTestdata(t, "read_settings.json")))))
	require.NoError(t, err)
	// A small CPU share and a slow link each delay an instance's candidacy for planner.
	checkValuesRead(t, "read_weak_settings.txt", weak.Process(logrus.WarnLevel, 0))
}

// TestConfigurationIsRead checks which values of the operators' configuration are decoded.
func TestConfigurationIsRead(t *testing.T) {
	t.Parallel()
	configuration, err := platform.ParseConfiguration(readTestdata(t, "read_configuration.json"))
	require.NoError(t, err)
	checkValuesRead(t, "read_configuration.txt", configuration)
}

// TestNamedVersionIsRead checks how a version named by operators is decoded, from a JSON number or string.
func TestNamedVersionIsRead(t *testing.T) {
	t.Parallel()
	for _, text := range []string{`{"model": "base", "adapter": "a1", "version": 41}`, `{"model": "base", "adapter": "a1", "version": "41"}`} {
		adapter, version, ok := platform.ParseVersion(store.Item{Key: "op/version/base.a1", Value: []byte(text)})
		require.True(t, ok)
		checkValuesRead(t, "read_version.txt", adapter, version)
	}
	_, _, ok := platform.ParseVersion(store.Item{Key: "op/other", Value: []byte(`{"model": "base", "adapter": "a1", "version": 41}`)})
	assert.False(t, ok)
}

// TestEndpointIsRead checks which values of an endpoint's entry in the store are decoded.
func TestEndpointIsRead(t *testing.T) {
	t.Parallel()
	endpoint, err := platform.ParseEndpoint(store.Item{Key: "servers/e-1", Value: readTestdata(t, "read_endpoint.json")})
	require.NoError(t, err)
	checkValuesRead(t, "read_endpoint.txt", endpoint)
}
