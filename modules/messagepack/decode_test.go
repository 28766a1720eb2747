// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package messagepack_test

import (
	"bytes"
	"math"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shelfledge/shelfledge/modules/messagepack"
)

// record has a field of each kind that messages between processes use.
type record struct {
	Text  string
	Bytes []byte
	List  []record
	Map   map[string]int64
	Any   any
	Time  time.Time
	Half  float32
	Ok    bool
	Next  *record
}

// TestWholeEncodingsAreDecodedAsByLibrary guards against a check that refuses messages.
func TestWholeEncodingsAreDecodedAsByLibrary(t *testing.T) {
	for _, length := range []int{0, 1, 15, 16, 31, 32, 255, 256, math.MaxUint16, math.MaxUint16 + 1} {
		given := record{
			Text: strings.Repeat("a", length), Bytes: bytes.Repeat([]byte{0xc1}, length), List: make([]record, min(length, 300)),
			Map: map[string]int64{}, Time: time.Unix(int64(length), int64(length)), Half: 1.5, Ok: true, Next: &record{Any: 2.5},
		}
		for _, number := range []int64{0, -1, -33, 127, 128, 1 << 8, 1 << 16, 1 << 32, math.MinInt8, math.MinInt16, math.MinInt32, math.MinInt64} {
			given.Map[strings.Repeat("k", int(number&63))+given.Text] = number
		}
		encoding, err := msgpack.Marshal(given)
		require.NoError(t, err)
		var got, want record
		require.NoError(t, msgpack.Unmarshal(encoding, &want))
		require.NoError(t, messagepack.Unmarshal(encoding, &got), length)
		assert.Equal(t, want, got)
		require.NoError(t, messagepack.Unmarshal(append(encoding, 0xc1), new(record)), "what follows is ignored")
		for cut := range min(len(encoding), 1000) {
			require.ErrorIs(t, messagepack.Unmarshal(encoding[:cut], new(record)), messagepack.ErrInvalid)
		}
	}
}

// TestFewBytesTakeLittleMemory guards against an encoding that states more than it has, or is nested without end, and ends the process.
func TestFewBytesTakeLittleMemory(t *testing.T) {
	many := []byte{0x7f, 0xff, 0xff, 0xff}
	field := func(name string, value ...byte) []byte {
		return append([]byte{0x81, 0xa0 | byte(len(name))}, append([]byte(name), value...)...)
	}
	for name, test := range map[string]struct {
		encoding []byte
		want     error
	}{
		"array":           {field("List", append([]byte{0xdd}, many...)...), messagepack.ErrInvalid},
		"map":             {field("Map", append([]byte{0xdf}, many...)...), messagepack.ErrInvalid},
		"bytes":           {field("Bytes", append([]byte{0xc6}, many...)...), messagepack.ErrInvalid},
		"unknown field":   {field("Other", append([]byte{0xc9}, many...)...), messagepack.ErrInvalid},
		"unknown code":    {field("Other", 0xc1), messagepack.ErrInvalid},
		"nested, unknown": {field("Other", bytes.Repeat([]byte{0x91}, 8<<20)...), messagepack.ErrTooDeep},
		"nested, known":   {bytes.Repeat(field("Next"), 1<<20), messagepack.ErrTooDeep},
		"nested, any":     {field("Any", bytes.Repeat([]byte{0x91}, 8<<20)...), messagepack.ErrTooDeep},
	} {
		t.Run(name, func(t *testing.T) {
			const maxAllocations = 4
			var got record
			allocations := testing.AllocsPerRun(1, func() { assert.ErrorIs(t, messagepack.Unmarshal(test.encoding, &got), test.want) })
			assert.LessOrEqual(t, allocations, float64(maxAllocations))
		})
	}
}

// TestManyElementsAreDecoded guards against a bound that refuses long messages.
func TestManyElementsAreDecoded(t *testing.T) {
	given := record{Map: make(map[string]int64)}
	for i := range 80_000 {
		given.List = append(given.List, record{Ok: i%2 == 0})
		given.Map[strconv.Itoa(i)] = int64(i)
	}
	encoding, err := msgpack.Marshal(given)
	require.NoError(t, err)
	var got record
	require.NoError(t, messagepack.Unmarshal(encoding, &got))
	assert.Len(t, got.List, len(given.List))
	assert.Equal(t, given.Map, got.Map)
}

// TestElementsOfOneByteTakeBoundedMemory guards against a message of few bytes whose elements take many in memory.
func TestElementsOfOneByteTakeBoundedMemory(t *testing.T) {
	const (
		encodedBytes = 8 << 20
		maxAllocated = 32 << 20
		halfOfLength = 4
	)
	list := func(prefix []byte, code byte, count int, element ...byte) []byte {
		head := append(prefix, code, byte(count>>24), byte(count>>16), byte(count>>8), byte(count))
		return append(head, bytes.Repeat(element, count)...)
	}
	field := func(name string) []byte { return append([]byte{0x81, 0xa0 | byte(len(name))}, name...) }
	type embedding struct{ record }
	type placed struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.
		Number   int
		List     []record
	}
	for name, test := range map[string]struct {
		encoding []byte
		value    any
	}{
		"nothing":                 {list(field("List"), 0xdd, encodedBytes, 0xc0), new(record)},
		"maps without a field":    {list(field("List"), 0xdd, encodedBytes, 0x80), new(record)},
		"numbers":                 {list(field("List"), 0xdd, encodedBytes, 0x01), new(record)},
		"in a nested value":       {list(append(field("Next"), field("List")...), 0xdd, encodedBytes, 0xc0), new(record)},
		"in an element":           {list(append(append(field("List"), 0x91), field("List")...), 0xdd, encodedBytes, 0xc0), new(record)},
		"many pointers":           {list(nil, 0xdd, encodedBytes, 0x80), new([]*record)},
		"any values":              {list(field("Any"), 0xdd, encodedBytes, 0xc0), new(record)},
		"maps of any values":      {list(list(field("Any"), 0xdd, 1), 0xdf, encodedBytes/2, 0xa0, 0xc0), new(record)},
		"pairs":                   {list(field("Map"), 0xdf, encodedBytes/2, 0xa0, 0x01), new(record)},
		"a name with its length":  {list([]byte{0x81, 0xd9, halfOfLength, 'L', 'i', 's', 't'}, 0xdd, encodedBytes, 0xc0), new(record)},
		"a name as bytes":         {list([]byte{0x81, 0xc4, halfOfLength, 'L', 'i', 's', 't'}, 0xdd, encodedBytes, 0xc0), new(record)},
		"in an embedded value":    {list(field("List"), 0xdd, encodedBytes, 0xc0), new(embedding)},
		"in a field by its place": {list([]byte{0x92, 0x01}, 0xdd, encodedBytes, 0xc0), new(placed)},
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := messagepack.Unmarshal(test.encoding, test.value)
			runtime.ReadMemStats(&after)
			assert.ErrorIs(t, err, messagepack.ErrTooLarge)
			assert.LessOrEqual(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated))
		})
	}
}

func BenchmarkUnmarshal(b *testing.B) {
	given := record{List: make([]record, 5000)}
	for i := range given.List {
		given.List[i] = record{Text: "h1/chat/adapter", Map: map[string]int64{"resident": 1, "pending": 1 << 20}}
	}
	encoding, err := msgpack.Marshal(given)
	require.NoError(b, err)
	for name, unmarshal := range map[string]func([]byte, any) error{"library": msgpack.Unmarshal, "bounded": messagepack.Unmarshal} {
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(len(encoding)))
			for b.Loop() {
				var got record
				require.NoError(b, unmarshal(encoding, &got))
			}
		})
	}
}

func FuzzUnmarshal(f *testing.F) {
	whole, err := msgpack.Marshal(record{List: []record{{Text: "a", Any: []any{1}, Next: &record{}}}, Map: map[string]int64{"b": 1}})
	require.NoError(f, err)
	for cut := range len(whole) + 1 {
		f.Add(whole[:cut])
	}
	f.Fuzz(func(t *testing.T, encoding []byte) {
		if messagepack.Unmarshal(encoding, new(record)) == nil {
			require.NoError(t, msgpack.Unmarshal(encoding, new(record)), "what is accepted is what the library accepts")
		}
	})
}
