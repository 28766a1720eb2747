// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package program_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// flattenSettings returns the values of a decoded settings file by their encoded paths, so that the result is independent of Go names.
func flattenSettings(value any) map[string]string {
	out := make(map[string]string)
	flattenSettingsInto(out, "", reflect.Indirect(reflect.ValueOf(value)))
	return out
}

func flattenSettingsInto(out map[string]string, path string, value reflect.Value) {
	if text, ok := value.Interface().(fmt.Stringer); ok {
		out[path] = text.String()
		return
	}
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			tag, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
			flattenSettingsInto(out, strings.TrimPrefix(path+"."+tag, "."), value.Field(i))
		}
	case reflect.Slice:
		for i := range value.Len() {
			flattenSettingsInto(out, fmt.Sprintf("%s[%d]", path, i), value.Index(i))
		}
	case reflect.Int64:
		if value.Type() != reflect.TypeFor[int64]() {
			out[path] = time.Duration(value.Int()).String()
			return
		}
		out[path] = strconv.FormatInt(value.Int(), 10)
	default:
		out[path] = fmt.Sprint(value.Interface())
	}
}

func formatValues(values map[string]string) string {
	var out []string
	for path, value := range values {
		out = append(out, path+" = "+value)
	}
	slices.Sort(out)
	if len(out) == 0 {
		return ""
	}
	return strings.Join(out, "\n") + "\n"
}

// editJSON returns a JSON text with the value at path replaced, or removed if the new value is "".
func editJSON(t *testing.T, text, path, value string) string {
	t.Helper()
	var document any
	require.NoError(t, json.Unmarshal([]byte(text), &document))
	var replacement any
	if value != "" {
		require.NoError(t, json.Unmarshal([]byte(value), &replacement), value)
	}
	steps := strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' })
	document = replaceAt(t, document, steps, replacement, value == "")
	raw, err := json.MarshalIndent(document, "", "  ")
	require.NoError(t, err)
	return string(raw)
}

func replaceAt(t *testing.T, at any, steps []string, replacement any, remove bool) any {
	t.Helper()
	if len(steps) == 0 {
		return replacement
	}
	switch at := at.(type) {
	case []any:
		i, err := strconv.Atoi(steps[0])
		require.NoError(t, err)
		at[i] = replaceAt(t, at[i], steps[1:], replacement, remove)
		return at
	case map[string]any:
		if remove && len(steps) == 1 {
			delete(at, steps[0])
			return at
		}
		at[steps[0]] = replaceAt(t, at[steps[0]], steps[1:], replacement, remove)
		return at
	}
	return replaceAt(t, make(map[string]any), steps, replacement, remove)
}

// jsonEdit is one edit of a JSON file: the path of a value and its new value as JSON, or "" to remove it.
type jsonEdit struct {
	path, value string
}

// parseEdits parses edits, one per line: a path, a space and the new value as JSON.
func parseEdits(text string) []jsonEdit {
	var out []jsonEdit
	for line := range strings.Lines(strings.TrimSpace(text)) {
		path, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		out = append(out, jsonEdit{path: path, value: value})
	}
	return out
}
