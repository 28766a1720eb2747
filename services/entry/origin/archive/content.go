// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package archive

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/shelfledge/shelfledge/modules/messagepack"
	"github.com/shelfledge/shelfledge/services/entry/origin"
)

// version is the first byte of each value.
const version = 1

// keyBytes is the size of a stream's key in a value.
const keyBytes = 8

// errUnreadable is the cause of a value that a program of another version wrote.
var errUnreadable = errors.New("archive: unreadable value")

// servedValue is the value of a key with the softwares that served lately. Fields may be added.
type servedValue struct {
	Softwares []served `msgpack:"w"`
	// Complete is set if the writer knows all that served within origin.MaxLifetime.
	Complete bool `msgpack:"c,omitempty"`
}

// served is a software and when it was last known to serve.
type served struct {
	software `msgpack:",inline"`
	// Age is the number of milliseconds since then at the time of writing; 0 if it served.
	Age uint32 `msgpack:"g,omitempty"`
	// WasSole is set if streams may have begun there without a statement of use.
	WasSole bool `msgpack:"o,omitempty"`
}

// software is a software of a service.
type software struct {
	Service string `msgpack:"s"`
	// Software is empty for endpoints that state none.
	Software string `msgpack:"w,omitempty"`
}

// begunValue is the value of a key with streams that began. Fields may be added.
type begunValue struct {
	Groups []group `msgpack:"g"`
	// Remaining is the number of milliseconds after the writing for which the last of the streams can still be taken up.
	Remaining uint32 `msgpack:"u"`
}

// group has the streams that began at one origin.
type group struct {
	software `msgpack:",inline"`
	// Keys are the keys of the streams, each of keyBytes, the most significant one first.
	Keys []byte `msgpack:"k"`
	// Ambiguous is set if other origins were recorded for the streams as well.
	Ambiguous bool `msgpack:"x,omitempty"`
	// Expected is set if the streams had no event yet.
	Expected bool `msgpack:"e,omitempty"`
}

// encode returns a value.
func encode(content any) ([]byte, error) {
	encoded, err := msgpack.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("archive: %w", err)
	}
	return append([]byte{version}, encoded...), nil
}

// encodeEra returns the value that states an era. The first one, 0, is not named.
func encodeEra(era int64) []byte {
	value := []byte{version}
	if era == 0 {
		return value
	}
	return binary.AppendVarint(value, era)
}

// decodeEra returns the era of a value, 0 if it names none.
func decodeEra(value []byte) int64 {
	if len(value) <= 1 {
		return 0
	}
	era, _ := binary.Varint(value[1:])
	return era
}

// decode reads a value into content.
func decode(value []byte, content any) error {
	if len(value) == 0 || value[0] != version {
		return errUnreadable
	}
	if err := messagepack.Unmarshal(value[1:], content); err != nil {
		return fmt.Errorf("%w: %w", errUnreadable, err)
	}
	return nil
}

// newServedValue returns the value for softwares.
func newServedValue(sightings []origin.Sighting, complete bool) *servedValue {
	value := &servedValue{Softwares: make([]served, 0, len(sightings)), Complete: complete}
	for _, seen := range sightings {
		value.Softwares = append(value.Softwares, served{software: software(seen.Origin), Age: milliseconds(seen.Age), WasSole: seen.WasSole})
	}
	return value
}

// sightings returns the softwares of a value. They count as younger than they are by the time since the writing.
func (v *servedValue) sightings() []origin.Sighting {
	sightings := make([]origin.Sighting, 0, len(v.Softwares))
	for _, seen := range v.Softwares {
		age := time.Duration(seen.Age) * time.Millisecond
		sightings = append(sightings, origin.Sighting{Origin: origin.Origin(seen.software), Age: age, WasSole: seen.WasSole})
	}
	return sightings
}

// groupID tells groups apart.
type groupID struct {
	began               origin.Origin
	ambiguous, expected bool
}

// newBegunValue returns the value for records.
func newBegunValue(now time.Time, records []origin.Record) *begunValue {
	value := &begunValue{}
	index := make(map[groupID]int)
	for _, record := range records {
		id := groupID{began: record.Origin, ambiguous: record.Ambiguous, expected: record.Expected}
		position, exists := index[id]
		if !exists {
			position = len(value.Groups)
			index[id] = position
			value.Groups = append(value.Groups, group{software: software(record.Origin), Ambiguous: record.Ambiguous, Expected: record.Expected})
		}
		value.Groups[position].Keys = binary.BigEndian.AppendUint64(value.Groups[position].Keys, uint64(record.Key))
		value.Remaining = max(value.Remaining, milliseconds(record.Until.Sub(now)))
	}
	return value
}

// records returns the streams of a value. They can be taken up no longer than stated, counted from the reading.
func (v *begunValue) records(now time.Time) ([]origin.Record, error) {
	until := now.Add(time.Duration(v.Remaining) * time.Millisecond)
	var records []origin.Record
	for i := range v.Groups {
		read := &v.Groups[i]
		if len(read.Keys)%keyBytes != 0 {
			return nil, errUnreadable
		}
		for start := 0; start < len(read.Keys); start += keyBytes {
			records = append(records, origin.Record{
				Key: origin.Key(binary.BigEndian.Uint64(read.Keys[start:])), Origin: origin.Origin(read.software), Until: until,
				Ambiguous: read.Ambiguous, Expected: read.Expected,
			})
		}
	}
	return records, nil
}

// milliseconds returns a span in milliseconds, rounded up, at most MaxLifetime.
func milliseconds(span time.Duration) uint32 {
	rounded := (min(span, origin.MaxLifetime) + time.Millisecond - 1) / time.Millisecond
	return uint32(max(rounded, 0))
}
