// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/klauspost/compress/zstd"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// ErrBadEncoding reports a value of the stored configuration that cannot be encoded or decoded.
type ErrBadEncoding struct {
	// Object is the kind of the value: "record", "snapshot" or "value".
	Object string
	Reason string
}

// Error implements error.
func (e ErrBadEncoding) Error() string {
	return fmt.Sprintf("the stored %s cannot be read: %s", e.Object, e.Reason)
}

// maxDecodedBytes limits the memory for the decompression of a stored value, so that a damaged value cannot exhaust it.
const maxDecodedBytes = 64 << 20

// The errors are ignored: they report incompatible options, and these options are constant.
var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecodedBytes))
)

// encodeCompressed returns the JSON encoding of v, compressed with zstd.
func encodeCompressed(v any) ([]byte, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, ErrBadEncoding{Object: "value", Reason: err.Error()}
	}
	return encoder.EncodeAll(raw, nil), nil
}

// decodeCompressed is the inverse of encodeCompressed; object names the kind of the value in errors.
func decodeCompressed(object string, data []byte, into any) error {
	raw, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return ErrBadEncoding{Object: object, Reason: err.Error()}
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return ErrBadEncoding{Object: object, Reason: err.Error()}
	}
	return nil
}

// EncodeRecord returns the stored form of a record.
func EncodeRecord(r Record) ([]byte, error) {
	return encodeCompressed(r)
}

// DecodeRecord decodes the stored form of a record.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	err := decodeCompressed("record", data, &r)
	return r, err
}

// snapshot is the JSON form of a catalog.
type snapshot struct {
	Revision int64         `json:"revision"`
	Adapters []*Adapter    `json:"adapters"`
	Services []*Service    `json:"services"`
	Rules    []Rule        `json:"rules"`
	Classes  []fleet.Class `json:"classes"`
	Pins     []string      `json:"pins"`
	Preloads []string      `json:"preloads"`
	Drained  []string      `json:"drained"`
	Budget   Budget        `json:"budget"`
}

// EncodeSnapshot returns the stored form of a catalog, with its lists sorted by name except for the rules.
func EncodeSnapshot(c *Catalog) ([]byte, error) {
	s := snapshot{Revision: c.Revision, Rules: append([]Rule(nil), c.Rules...), Budget: c.Budget, Pins: sortedRefNames(c.Pins), Preloads: sortedRefNames(c.Preloads)}
	for _, a := range c.Adapters {
		s.Adapters = append(s.Adapters, a)
	}
	sort.Slice(s.Adapters, func(i, j int) bool { return s.Adapters[i].Name < s.Adapters[j].Name })
	for _, service := range c.Services {
		s.Services = append(s.Services, service)
	}
	sort.Slice(s.Services, func(i, j int) bool { return s.Services[i].Name < s.Services[j].Name })
	for _, class := range c.Classes {
		s.Classes = append(s.Classes, class)
	}
	sort.Slice(s.Classes, func(i, j int) bool { return s.Classes[i].Name < s.Classes[j].Name })
	for name := range c.Drained {
		s.Drained = append(s.Drained, name)
	}
	sort.Strings(s.Drained)
	return encodeCompressed(s)
}

func sortedRefNames(refs map[fleet.AdapterRef]bool) []string {
	out := make([]string, 0, len(refs))
	for ref := range refs {
		out = append(out, ref.String())
	}
	sort.Strings(out)
	return out
}

// DecodeSnapshot decodes the stored form of a catalog.
func DecodeSnapshot(data []byte) (*Catalog, error) {
	var s snapshot
	if err := decodeCompressed("snapshot", data, &s); err != nil {
		return nil, err
	}
	c := New()
	c.Revision, c.Rules, c.Budget = s.Revision, s.Rules, s.Budget
	for _, a := range s.Adapters {
		if a == nil {
			return nil, ErrBadEncoding{Object: "snapshot", Reason: "an adapter is null"}
		}
		c.Adapters[a.Name] = a
	}
	for _, service := range s.Services {
		if service == nil {
			return nil, ErrBadEncoding{Object: "snapshot", Reason: "a service is null"}
		}
		c.Services[service.Name] = service
	}
	for _, class := range s.Classes {
		c.Classes[class.Name] = class
	}
	for _, name := range s.Drained {
		c.Drained[name] = true
	}
	if err := parseRefs(s.Pins, c.Pins); err != nil {
		return nil, err
	}
	return c, parseRefs(s.Preloads, c.Preloads)
}

func parseRefs(names []string, into map[fleet.AdapterRef]bool) error {
	for _, name := range names {
		ref, err := fleet.ParseAdapterRef(name)
		if err != nil {
			return ErrBadEncoding{Object: "snapshot", Reason: err.Error()}
		}
		into[ref] = true
	}
	return nil
}
