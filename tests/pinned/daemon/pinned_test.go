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

var update = flag.Bool("update", false, "write the pinned files")

// pinned reads a pinned file.
func pinned(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err, "a pinned file is missing")
	return data
}

// pin compares a value's JSON with a pinned file.
func pin(t *testing.T, name string, value any) {
	t.Helper()
	data := indented(t, value)
	if *update {
		require.NoError(t, os.WriteFile(filepath.Join("testdata", name), data, 0o600))
	}
	requireLines(t, name, pinned(t, name), data)
}

// requireLines fails at the first line that differs.
func requireLines(t *testing.T, name string, want, got []byte) {
	t.Helper()
	wanted, found := strings.Split(string(want), "\n"), strings.Split(string(got), "\n")
	for i := range min(len(wanted), len(found)) {
		require.Equal(t, wanted[i], found[i], "%s differs from what others see in line %d", name, i+1)
	}
	require.Len(t, found, len(wanted), "%s differs from what others see in its length", name)
}

func indented(t *testing.T, value any) []byte {
	t.Helper()
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	require.NoError(t, e.Encode(value))
	return out.Bytes()
}

// pinJSON decodes a pinned example of T, checks that no field of it is zero, and encodes it again.
func pinJSON[T any](t *testing.T, name string) {
	t.Helper()
	var v T
	if *update {
		(&filler{}).fill(reflect.ValueOf(&v).Elem())
		pin(t, name, v)
	}
	var out T
	d := json.NewDecoder(bytes.NewReader(pinned(t, name)))
	d.DisallowUnknownFields()
	require.NoError(t, d.Decode(&out), name)
	requireFilled(t, name, "json", reflect.ValueOf(out))
	requireLines(t, name, pinned(t, name), indented(t, out))
}

// filler gives every field a value of its own.
type filler struct {
	count int64
}

func (f *filler) next() int64 {
	f.count++
	return f.count
}

var (
	timeType    = reflect.TypeFor[time.Time]()
	addressType = reflect.TypeFor[netip.AddrPort]()
	decodesSelf = reflect.TypeFor[json.Unmarshaler]()
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
	case reflect.PointerTo(v.Type()).Implements(decodesSelf):
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
		panic("no example for " + v.Type().String())
	}
}

// requireFilled fails where an example leaves an encoded field zero, as after a new field or a renamed tag.
func requireFilled(t *testing.T, path, tag string, v reflect.Value) {
	t.Helper()
	require.False(t, v.IsZero(), "%s is zero in the pinned example", path)
	if v.Type() == timeType || v.Type() == addressType || reflect.PointerTo(v.Type()).Implements(decodesSelf) {
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		requireFilled(t, path, tag, v.Elem())
	case reflect.Slice:
		require.NotZero(t, v.Len(), "%s is empty in the pinned example", path)
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
