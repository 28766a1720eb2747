// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/shelfledge/shelfledge/modules/entry/datagram"
	"github.com/shelfledge/shelfledge/modules/messagepack"
	"github.com/shelfledge/shelfledge/services/entry/origin"
)

// version is the first byte of each datagram. A new field needs no other version: those that do not know it ignore it, and its zero value
// must mean the same as a message that lacks it.
const version = 1

// errUnknownVersion and errMalformed are returned for datagrams that cannot be read.
var (
	errUnknownVersion = errors.New("exchange: unknown version")
	errMalformed      = errors.New("exchange: malformed datagram")
)

// message is the content of a datagram. Exactly one of records, question and answer is set; none in a message of a kind that is not known here.
type message struct {
	Records  []record  `msgpack:"r,omitempty"`
	Question *question `msgpack:"q,omitempty"`
	Answer   *answer   `msgpack:"a,omitempty"`
	// Again asks for all records once more, also those held for others, since the sender writes into the archive and may have missed them.
	Again bool `msgpack:"g,omitempty"`
	// Seen are softwares of services that several serve, or one at which the sender begins streams as the only one of its service.
	Seen []sighting `msgpack:"n,omitempty"`
	// Uses are where the sender begins streams and could not state it in the archive.
	Uses *usesOf `msgpack:"u,omitempty"`
	// Write is set with records that the sender could not write into the archive.
	Write bool `msgpack:"w,omitempty"`
	// Held is set with records of streams that the sender did not begin: they may have been written already.
	Held bool `msgpack:"h,omitempty"`
}

// encodedRecords is a message with records that are encoded already, since each record is sent to several holders.
type encodedRecords struct {
	Records []msgpack.RawMessage `msgpack:"r"`
	Write   bool                 `msgpack:"w,omitempty"`
	Held    bool                 `msgpack:"h,omitempty"`
}

// record tells the origin of a stream.
type record struct {
	Key      uint64 `msgpack:"k"`
	Service  string `msgpack:"s"`
	Software string `msgpack:"w,omitempty"`
	// Remaining is the number of milliseconds for which the stream can still be taken up.
	Remaining uint32 `msgpack:"u"`
	Ambiguous bool   `msgpack:"x,omitempty"`
	// Expected is set before the first event of the stream is forwarded.
	Expected bool `msgpack:"e,omitempty"`
}

// question asks for the origin of a stream, and for the softwares of the services where it may have begun.
type question struct {
	ID       uint64     `msgpack:"i"`
	Key      uint64     `msgpack:"k"`
	Services []string   `msgpack:"s,omitempty"`
	Known    []sighting `msgpack:"w,omitempty"`
}

// answer is what an instance knows about the stream of a question.
type answer struct {
	ID       uint64     `msgpack:"i"`
	Found    int        `msgpack:"f,omitempty"`
	Service  string     `msgpack:"s,omitempty"`
	Software string     `msgpack:"v,omitempty"`
	Known    []sighting `msgpack:"w,omitempty"`
	Complete bool       `msgpack:"c,omitempty"`
	// Process is the number of the process, and 0 if that may have begun the stream and forgotten it.
	Process uint64 `msgpack:"p,omitempty"`
	// HasForgotten is set if the process states its uses, but may have forgotten the stream. A former build states none and does not set it.
	HasForgotten bool `msgpack:"o,omitempty"`
	// Uses are those of other processes that the instance was told, of the services in question. LacksUses is set if there are more,
	// or the archive may lack some.
	Uses      []usesOf `msgpack:"u,omitempty"`
	LacksUses bool     `msgpack:"l,omitempty"`
	// HasLost is set if an instance was in the list of instances lately and is gone.
	HasLost bool `msgpack:"z,omitempty"`
}

// The values of answer.Found.
const (
	foundNothing = iota
	foundOrigin
	foundSeveral
)

// usesOf tells at which softwares a process begins streams.
type usesOf struct {
	Process   uint64     `msgpack:"p"`
	Softwares []sighting `msgpack:"w"`
}

// sighting tells when a software was last known. Age is in milliseconds.
type sighting struct {
	Service  string `msgpack:"s"`
	Software string `msgpack:"w,omitempty"`
	Age      uint32 `msgpack:"g,omitempty"`
	WasSole  bool   `msgpack:"o,omitempty"`
}

// encode returns the datagram of a message.
func encode(content any) ([]byte, error) {
	encoded, err := msgpack.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	return append([]byte{version}, encoded...), nil
}

// decode returns the message of a datagram.
func decode(payload []byte) (*message, error) {
	if len(payload) == 0 {
		return nil, errMalformed
	}
	if payload[0] != version {
		return nil, errUnknownVersion
	}
	var decoded message
	if err := messagepack.Unmarshal(payload[1:], &decoded); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return &decoded, nil
}

// encodeFitting returns the datagram of the message that build makes with as many sightings as fit, and false if it does not fit with the
// fewest that it needs.
func encodeFitting(known []sighting, fewest int, build func(known []sighting) *message) ([]byte, bool) {
	for {
		payload, err := encode(build(known))
		if err == nil && len(payload) <= datagram.MaxBytes {
			return payload, true
		}
		if err != nil || len(known) <= fewest {
			return nil, false
		}
		known = known[:max(len(known)-1, fewest)]
	}
}

// milliseconds returns a duration in milliseconds, rounded up, as far as the field reaches.
func milliseconds(span time.Duration) uint32 {
	rounded := (span + time.Millisecond - 1) / time.Millisecond
	return uint32(min(max(rounded, 0), math.MaxUint32))
}

// toSightings returns sightings as they are sent, those of the softwares that were known last first: what does not fit into a datagram is least likely
// to be where a stream began.
func toSightings(known []origin.Sighting) []sighting {
	sorted := slices.Clone(known)
	slices.SortStableFunc(sorted, func(a, b origin.Sighting) int { return cmp.Compare(a.Age, b.Age) })
	sent := make([]sighting, 0, len(sorted))
	for _, seen := range sorted {
		sent = append(sent, sighting{Service: seen.Origin.Service, Software: seen.Origin.Software, Age: milliseconds(seen.Age), WasSole: seen.WasSole})
	}
	return sent
}

// toOrigin returns a sighting as it was sent.
func (s sighting) toOrigin() origin.Sighting {
	return origin.Sighting{
		Origin: origin.Origin{Service: s.Service, Software: s.Software},
		Age:    time.Duration(s.Age) * time.Millisecond, WasSole: s.WasSole,
	}
}

// setFound sets what was found.
func (a *answer) setFound(found origin.Result) {
	switch found.Verdict {
	case origin.Known:
		a.Found, a.Service, a.Software = foundOrigin, found.Origin.Service, found.Origin.Software
	case origin.Ambiguous:
		a.Found = foundSeveral
	}
}

// result returns what was found, and false for a value that is not known here.
func (a *answer) result() (origin.Result, bool) {
	switch a.Found {
	case foundNothing:
		return origin.Result{Verdict: origin.Unknown}, true
	case foundOrigin:
		return origin.Result{Verdict: origin.Known, Origin: origin.Origin{Service: a.Service, Software: a.Software}}, true
	case foundSeveral:
		return origin.Result{Verdict: origin.Ambiguous}, true
	default:
		return origin.Result{}, false
	}
}
