// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package daemon_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// readGolden returns the content of a golden file.
func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err, "cannot read golden file")
	return data
}

// checkGolden compares a value's JSON encoding with a golden file.
func checkGolden(t *testing.T, name string, value any) {
	t.Helper()
	data := encodeIndented(t, value)
	if *update {
		require.NoError(t, os.WriteFile(filepath.Join("testdata", name), data, 0o600))
	}
	requireEqualLines(t, name, readGolden(t, name), data)
}

// requireEqualLines fails at the first line that differs.
func requireEqualLines(t *testing.T, name string, want, got []byte) {
	t.Helper()
	wantLines, gotLines := strings.Split(string(want), "\n"), strings.Split(string(got), "\n")
	for i := range min(len(wantLines), len(gotLines)) {
		require.Equal(t, wantLines[i], gotLines[i], "%s: line %d differs from the golden file", name, i+1)
	}
	require.Len(t, gotLines, len(wantLines), "%s: number of lines differs from the golden file", name)
}

func encodeIndented(t *testing.T, value any) []byte {
	t.Helper()
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	require.NoError(t, e.Encode(value))
	return out.Bytes()
}

// checkGoldenJSON decodes a golden example of T, checks that none of its fields is zero, and checks that encoding it again gives the
// same text.
func checkGoldenJSON[T any](t *testing.T, name string) {
	t.Helper()
	var v T
	if *update {
		(&filler{}).fill(reflect.ValueOf(&v).Elem())
		checkGolden(t, name, v)
	}
	var out T
	d := json.NewDecoder(bytes.NewReader(readGolden(t, name)))
	d.DisallowUnknownFields()
	require.NoError(t, d.Decode(&out), name)
	requireFilled(t, name, "json", reflect.ValueOf(out))
	requireEqualLines(t, name, readGolden(t, name), encodeIndented(t, out))
}

// filler sets every field of a value to a different non-zero value.
type filler struct {
	count int64
}

func (f *filler) next() int64 {
	f.count++
	return f.count
}

var (
	timeType            = reflect.TypeFor[time.Time]()
	addressType         = reflect.TypeFor[netip.AddrPort]()
	jsonUnmarshalerType = reflect.TypeFor[json.Unmarshaler]()
)

func (f *filler) fill(v reflect.Value) {
	n := f.next()
	switch {
	case v.Type() == timeType:
		v.Set(reflect.ValueOf(time.Date(2026, 3, 4, 5, 6, 7, int(n)*1e6, time.UTC)))
		return
	case v.Type() == addressType:
		v.Set(reflect.ValueOf(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 2, 3}), uint16(1000+n))))
		return
	case reflect.PointerTo(v.Type()).Implements(jsonUnmarshalerType):
		if err := json.Unmarshal([]byte(`"cell"`), v.Addr().Interface()); err != nil {
			panic(err)
		}
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString("text-" + string(rune('a'+n%26)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int32, reflect.Int64:
		v.SetInt(n * 10)
	case reflect.Uint, reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(n * 7 % 251))
	case reflect.Float64:
		v.SetFloat(float64(n) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fill(v.Index(0))
		f.fill(v.Index(1))
	case reflect.Struct:
		for i := range v.NumField() {
			f.fill(v.Field(i))
		}
	default:
		panic("no example value for type " + v.Type().String())
	}
}

// requireFilled fails if an encoded field of an example is zero, as happens after adding a field or renaming a tag.
func requireFilled(t *testing.T, path, tag string, v reflect.Value) {
	t.Helper()
	require.False(t, v.IsZero(), "%s is zero in the golden example", path)
	if v.Type() == timeType || v.Type() == addressType || reflect.PointerTo(v.Type()).Implements(jsonUnmarshalerType) {
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		requireFilled(t, path, tag, v.Elem())
	case reflect.Slice:
		require.NotZero(t, v.Len(), "%s is empty in the golden example", path)
		for i := range v.Len() {
			requireFilled(t, path, tag, v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.Tag.Get(tag) != "-" {
				requireFilled(t, path+"."+field.Name, tag, v.Field(i))
			}
		}
	}
}
