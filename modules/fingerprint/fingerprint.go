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

// Fingerprint is equal for two sendings of one request. It is a part of a cryptographic hash, so that no caller can make a request that
// has the fingerprint of another one; the zero value stands for none.
type Fingerprint [Size]byte

// Content is what makes two requests the same one.
type Content struct {
	// Method, Host, Path and Query are those of the request line and the Host header, as the caller wrote them.
	Method, Host, Path, Query string
	// Adapter is what the request asks for; empty for plain services.
	Adapter string
	// Body is the body, or its beginning where it is not held whole.
	Body []byte
	// Length is the length of the whole body in bytes, -1 where it is not known.
	Length int64
}

// Fingerprint gives the content's fingerprint.
func (c Content) Fingerprint() Fingerprint {
	hash := sha256.New()
	query := c.Query
	if len(c.Body) > 0 {
		query = ""
	}
	head := make([]byte, 0, len(c.Method)+len(c.Host)+len(c.Path)+len(query)+len(c.Adapter)+fixedBytes)
	for _, text := range []string{c.Method, c.Host, c.Path, query, c.Adapter} {
		// Each text follows its length, so that no two contents give the same bytes.
		head = binary.BigEndian.AppendUint32(head, uint32(len(text)))
		head = append(head, text...)
	}
	head = binary.BigEndian.AppendUint64(head, uint64(c.Length))
	hash.Write(head)
	hash.Write(c.Body)
	var sum [sha256.Size]byte
	return Fingerprint(hash.Sum(sum[:0])[:Size])
}

// fixedBytes is room for what comes before the body beside the texts: their lengths and that of the body.
const fixedBytes = 5*4 + 8

// IsZero reports whether there is none.
func (f Fingerprint) IsZero() bool {
	return f == Fingerprint{}
}

// String gives the fingerprint in hex, as log lines and operators name it.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// Parse reads what String gives; false for any other text.
func Parse(text string) (Fingerprint, bool) {
	var f Fingerprint
	if hex.DecodedLen(len(text)) != Size {
		return f, false
	}
	_, err := hex.Decode(f[:], []byte(text))
	return f, err == nil
}
