// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package messagepack

import (
	"errors"
	"math"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth is how deep arrays and maps may be nested. A higher value allows messages with more levels, a lower one takes less of the stack.
const maxDepth = 32

// ErrInvalid is returned for an encoding that has fewer bytes or elements than it states, and ErrTooDeep for one that is nested too deep.
var (
	ErrInvalid = errors.New("messagepack: invalid encoding")
	ErrTooDeep = errors.New("messagepack: nested too deep")
)

// Unmarshal decodes an encoding into a value like msgpack.Unmarshal. The errors are ErrInvalid, ErrTooDeep and those of the library.
func Unmarshal(encoding []byte, value any) error {
	if err := check(encoding); err != nil {
		return err
	}
	return msgpack.Unmarshal(encoding, value)
}

// check walks over one encoded value. Bytes that follow it are ignored, as by the library.
func check(encoding []byte) error {
	// pending is how many values are still to come at each level.
	var pending [maxDepth + 1]int
	pending[0] = 1
	for depth := 0; depth >= 0; {
		if pending[depth] == 0 {
			depth--
			continue
		}
		pending[depth]--
		bytes, elements, ok := measure(encoding)
		if !ok || bytes > len(encoding) || elements > len(encoding)-bytes {
			return ErrInvalid
		}
		encoding = encoding[bytes:]
		if elements == 0 {
			continue
		}
		if depth == maxDepth {
			return ErrTooDeep
		}
		depth++
		pending[depth] = elements
	}
	return nil
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
