// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package messagepack

import (
	"errors"
	"math"
	"reflect"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth is how deep arrays and maps may be nested. A higher value allows messages with more levels, a lower one takes less of the stack.
const maxDepth = 32

// maxDecodedBytes bounds what an encoding takes in memory besides its own bytes, as far as Go types tell: 32 MiB, half of what an instance may take.
// A higher value allows messages with more elements, a lower one takes less.
const maxDecodedBytes = 33554432

// freeDecodedBytes is up to how many bytes an encoding, together with what it takes besides, is decoded at any time: 1 MiB. A higher value lets
// larger ones be decoded at once, a lower one bounds what they take together.
const freeDecodedBytes = 1 << 20

// largeDecoding is held while a larger encoding is decoded, so that what several take does not add up. Decoding waits for nothing else.
var largeDecoding sync.Mutex

// ErrInvalid is returned for an encoding that has fewer bytes or elements than it states, ErrTooDeep for one that is nested too deep,
// and ErrTooLarge for one whose elements take too much memory.
var (
	ErrInvalid  = errors.New("messagepack: invalid encoding")
	ErrTooDeep  = errors.New("messagepack: nested too deep")
	ErrTooLarge = errors.New("messagepack: too many elements")
)

// Unmarshal decodes an encoding into a value like msgpack.Unmarshal, large ones one after the other. The errors are ErrInvalid, ErrTooDeep,
// ErrTooLarge and those of the library.
func Unmarshal(encoding []byte, value any) error {
	decodedBytes, err := check(encoding, shapeOf(reflect.TypeOf(value)))
	if err != nil {
		return err
	}
	if len(encoding)+decodedBytes > freeDecodedBytes {
		largeDecoding.Lock()
		defer largeDecoding.Unlock()
	}
	return msgpack.Unmarshal(encoding, value)
}

// level is a list or a map that an encoding is in, or the encoding itself.
type level struct {
	// pending is how many values are still to come, passed how many have come.
	pending, passed int
	shape           *shape
	isMap           bool
	// named is the shape of the value that the last key of a map names.
	named *shape
}

// next returns the shape of the next value, which the encoding begins with.
func (l *level) next(encoding []byte) *shape {
	l.pending--
	l.passed++
	switch {
	case l.shape == nil:
		return nil
	case l.isMap && l.passed%pairElements == 0:
		return l.named
	case l.isMap:
		l.named = l.shape.value(encoding)
		return nil
	case l.shape.fields == nil:
		return l.shape.element
	case l.passed <= len(l.shape.ordered):
		return l.shape.ordered[l.passed-1]
	}
	return nil
}

// value returns the shape of the value whose key the encoding begins with.
func (s *shape) value(encoding []byte) *shape {
	if s.fields == nil {
		return s.element
	}
	bytes, _, ok := measure(encoding)
	if !ok || bytes > len(encoding) {
		return nil
	}
	return s.fields[string(encoding[codeBytes+layouts[encoding[0]].lengthBytes:bytes])]
}

// resolve follows pointers to a value that begins with a code, and returns the shape that they end at, with the bytes of the values on the way.
func (s *shape) resolve(code byte) (*shape, int) {
	if code == msgpcode.Nil {
		return nil, 0
	}
	bytes := 0
	for s != nil && s.ownBytes > 0 {
		bytes += s.ownBytes
		s = s.element
	}
	return s, bytes
}

// check walks over one encoded value of a shape, and returns what it takes in memory besides its bytes. Bytes that follow it are ignored, as by the
// library.
func check(encoding []byte, root *shape) (int, error) {
	var levels [maxDepth + 1]level
	levels[0] = level{pending: 1, shape: &shape{element: root}}
	decodedBytes := 0
	for depth := 0; depth >= 0; {
		if levels[depth].pending == 0 {
			depth--
			continue
		}
		next := levels[depth].next(encoding)
		bytes, elements, ok := measure(encoding)
		if !ok || bytes > len(encoding) || elements > len(encoding)-bytes {
			return 0, ErrInvalid
		}
		of, ownBytes := next.resolve(encoding[0])
		if decodedBytes += ownBytes + of.bytesOf(elements); decodedBytes > maxDecodedBytes {
			return 0, ErrTooLarge
		}
		isMap := isMapCode(encoding[0])
		encoding = encoding[bytes:]
		if elements == 0 {
			continue
		}
		if depth == maxDepth {
			return 0, ErrTooDeep
		}
		depth++
		levels[depth] = level{pending: elements, shape: of, isMap: isMap}
	}
	return decodedBytes, nil
}

// bytesOf returns what elements of a value of the shape take.
func (s *shape) bytesOf(elements int) int {
	if s == nil {
		return 0
	}
	return s.elementBytes * elements
}

// isMapCode reports whether a value that begins with a code is a map.
func isMapCode(code byte) bool {
	return msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
}

// layout is how a value begins whose first byte has a certain code.
type layout struct {
	// bytes is the length of the value without the bytes that state a length and what they count; 0 for an unknown code.
	bytes int
	// lengthBytes is how many bytes state a length, which counts bytes, elements of an array, or pairs of a map.
	lengthBytes int
	// elements is how many values each element or pair has; 0 if the length counts bytes.
	elements int
}

// Sizes of the parts of a value, in bytes: its code, the type of an extension, and numbers of so many bits.
const (
	codeBytes = 1
	typeBytes = 1
	bytes8    = 1
	bytes16   = 2
	bytes32   = 4
	bytes64   = 8
	bytes128  = 16

	bitsOfByte   = 8
	pairElements = 2
)

// layouts are those of codes that do not hold a length themselves; the others have none.
var layouts = tableOf(map[byte]layout{
	msgpcode.Nil: {bytes: codeBytes}, msgpcode.False: {bytes: codeBytes}, msgpcode.True: {bytes: codeBytes},

	msgpcode.Uint8: {bytes: codeBytes + bytes8}, msgpcode.Uint16: {bytes: codeBytes + bytes16},
	msgpcode.Uint32: {bytes: codeBytes + bytes32}, msgpcode.Uint64: {bytes: codeBytes + bytes64},
	msgpcode.Int8: {bytes: codeBytes + bytes8}, msgpcode.Int16: {bytes: codeBytes + bytes16},
	msgpcode.Int32: {bytes: codeBytes + bytes32}, msgpcode.Int64: {bytes: codeBytes + bytes64},
	msgpcode.Float: {bytes: codeBytes + bytes32}, msgpcode.Double: {bytes: codeBytes + bytes64},

	msgpcode.Str8: {bytes: codeBytes, lengthBytes: bytes8}, msgpcode.Bin8: {bytes: codeBytes, lengthBytes: bytes8},
	msgpcode.Str16: {bytes: codeBytes, lengthBytes: bytes16}, msgpcode.Bin16: {bytes: codeBytes, lengthBytes: bytes16},
	msgpcode.Str32: {bytes: codeBytes, lengthBytes: bytes32}, msgpcode.Bin32: {bytes: codeBytes, lengthBytes: bytes32},

	msgpcode.Array16: {bytes: codeBytes, lengthBytes: bytes16, elements: 1},
	msgpcode.Array32: {bytes: codeBytes, lengthBytes: bytes32, elements: 1},
	msgpcode.Map16:   {bytes: codeBytes, lengthBytes: bytes16, elements: pairElements},
	msgpcode.Map32:   {bytes: codeBytes, lengthBytes: bytes32, elements: pairElements},

	msgpcode.FixExt1: {bytes: codeBytes + typeBytes + bytes8}, msgpcode.FixExt2: {bytes: codeBytes + typeBytes + bytes16},
	msgpcode.FixExt4: {bytes: codeBytes + typeBytes + bytes32}, msgpcode.FixExt8: {bytes: codeBytes + typeBytes + bytes64},
	msgpcode.FixExt16: {bytes: codeBytes + typeBytes + bytes128},

	msgpcode.Ext8:  {bytes: codeBytes + typeBytes, lengthBytes: bytes8},
	msgpcode.Ext16: {bytes: codeBytes + typeBytes, lengthBytes: bytes16},
	msgpcode.Ext32: {bytes: codeBytes + typeBytes, lengthBytes: bytes32},
})

// tableOf returns layouts by their code.
func tableOf(byCode map[byte]layout) *[math.MaxUint8 + 1]layout {
	var table [math.MaxUint8 + 1]layout
	for code, l := range byCode {
		table[code] = l
	}
	return &table
}

// measure returns the length of the value that an encoding begins with, without its elements, and how many of these follow.
func measure(encoding []byte) (bytes, elements int, ok bool) {
	if len(encoding) == 0 {
		return 0, 0, false
	}
	code := encoding[0]
	switch {
	case msgpcode.IsFixedNum(code):
		return codeBytes, 0, true
	case msgpcode.IsFixedString(code):
		return codeBytes + int(code&msgpcode.FixedStrMask), 0, true
	case msgpcode.IsFixedArray(code):
		return codeBytes, int(code & msgpcode.FixedArrayMask), true
	case msgpcode.IsFixedMap(code):
		return codeBytes, pairElements * int(code&msgpcode.FixedMapMask), true
	}
	found := &layouts[code]
	if found.bytes == 0 || len(encoding) <= found.lengthBytes {
		return 0, 0, false
	}
	length := 0
	for _, digit := range encoding[codeBytes : codeBytes+found.lengthBytes] {
		length = length<<bitsOfByte | int(digit)
	}
	if found.elements > 0 {
		return found.bytes + found.lengthBytes, found.elements * length, true
	}
	return found.bytes + found.lengthBytes + length, 0, true
}
