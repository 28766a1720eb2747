// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Size is the length of a Fingerprint in bytes.
const Size = 16

// Fingerprint identifies the content of a request; it is equal for all repetitions of a request. It is a prefix of a cryptographic hash,
// so that no caller can make a request that has the fingerprint of another request. The zero value means that there is no fingerprint.
type Fingerprint [Size]byte

// Content holds the parts of a request that its fingerprint covers.
type Content struct {
	// Method, Host, Path and Query are those of the request line and the Host header, as the caller wrote them.
	Method, Host, Path, Query string
	// Adapter is the requested adapter; empty for plain services.
	Adapter string
	// Body is the body, or its beginning if it is not buffered completely.
	Body []byte
	// Length is the length of the complete body in bytes, or -1 if it is not known.
	Length int64
}

// Fingerprint returns the fingerprint of the content.
func (c Content) Fingerprint() Fingerprint {
	hash := sha256.New()
	query := c.Query
	if len(c.Body) > 0 {
		query = ""
	}
	head := make([]byte, 0, len(c.Method)+len(c.Host)+len(c.Path)+len(query)+len(c.Adapter)+fixedSize)
	for _, text := range []string{c.Method, c.Host, c.Path, query, c.Adapter} {
		// Each text is preceded by its length, so that different contents never give the same bytes.
		head = binary.BigEndian.AppendUint32(head, uint32(len(text)))
		head = append(head, text...)
	}
	head = binary.BigEndian.AppendUint64(head, uint64(c.Length))
	hash.Write(head)
	hash.Write(c.Body)
	var sum [sha256.Size]byte
	return Fingerprint(hash.Sum(sum[:0])[:Size])
}

// partDomain precedes the name of a part of a prompt that is hashed.
const partDomain = "part of a prompt\x00"

// OfPart returns the fingerprint of a part that prompts have in common. A short name in hexadecimal form stays readable: its bytes, zeros, and
// the number of its bytes.
func OfPart(name string) Fingerprint {
	var f Fingerprint
	size := hex.DecodedLen(len(name))
	if size < Size && len(name) > 0 {
		if _, err := hex.Decode(f[:size], []byte(name)); err == nil {
			f[Size-1] = byte(size)
			return f
		}
	}
	sum := sha256.Sum256([]byte(partDomain + name))
	return Fingerprint(sum[:Size])
}

// fixedSize is the size in bytes of the length fields that are hashed before the body: those of the five texts and that of the body.
const fixedSize = 5*4 + 8

// IsZero reports whether f is the zero value.
func (f Fingerprint) IsZero() bool {
	return f == Fingerprint{}
}

// String returns the fingerprint in hexadecimal form, as used in log lines and by operators.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// Parse parses a result of String. It returns false for any other text.
func Parse(text string) (Fingerprint, bool) {
	var f Fingerprint
	if hex.DecodedLen(len(text)) != Size {
		return f, false
	}
	_, err := hex.Decode(f[:], []byte(text))
	return f, err == nil
}
