// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is an error in a settings file.
type Problem struct {
	Line int
	// Name is the path of the setting, such as "endpoints[0].slots", or "file" for a problem of the whole file.
	Name   string
	Reason string
}

// ErrInvalidSettings reports all problems of a settings file.
type ErrInvalidSettings struct {
	File     string
	Problems []Problem
}

// Error returns the problems, one per line.
func (e ErrInvalidSettings) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d problems in the settings:", len(e.Problems))
	for _, p := range e.Problems {
		fmt.Fprintf(&b, "\n%s:%d: %s: %s", e.File, p.Line, p.Name, p.Reason)
	}
	return b.String()
}

// document is a settings file that is being decoded and checked.
type document struct {
	raw []byte
	// lines maps the path of each setting in the file to its line.
	lines    map[string]int
	problems []Problem
}

// decode parses the text of a settings file into the struct that into points to, and collects all syntax and type errors.
func decode(raw []byte, into any) *document {
	d := &document{raw: raw, lines: make(map[string]int)}
	value, err := hujson.Parse(raw)
	if err != nil {
		d.problems = append(d.problems, Problem{Line: lineFromMessage(err.Error()), Name: "file", Reason: err.Error()})
		return d
	}
	d.fill(value, reflect.ValueOf(into).Elem(), "")
	return d
}

// lineFromMessage returns the line number in a message of the parser, or 1 if there is none.
func lineFromMessage(message string) int {
	line := 1
	if at := strings.Index(message, "line "); at >= 0 {
		// If no number follows, line stays 1.
		_, _ = fmt.Sscanf(message[at:], "line %d", &line)
	}
	return line
}

func (d *document) addProblem(name, format string, args ...any) {
	d.problems = append(d.problems, Problem{Line: d.line(name), Name: name, Reason: fmt.Sprintf(format, args...)})
}

// line returns the line of a setting, or of the innermost enclosing setting that is in the file.
func (d *document) line(name string) int {
	for name != "" {
		if line, ok := d.lines[name]; ok {
			return line
		}
		at := strings.LastIndexAny(name, ".[")
		if at < 0 {
			break
		}
		name = name[:at]
	}
	return 1
}

// lineOfValue returns the line at which a value starts.
func (d *document) lineOfValue(v hujson.Value) int {
	return 1 + bytes.Count(d.raw[:min(v.StartOffset, len(d.raw))], []byte("\n"))
}

// fill sets a field from a value of the file, recursively for objects and arrays.
func (d *document) fill(v hujson.Value, into reflect.Value, name string) {
	if name != "" {
		d.lines[name] = d.lineOfValue(v)
	}
	switch x := v.Value.(type) {
	case *hujson.Object:
		if into.Kind() == reflect.Struct && !isLeaf(into.Type()) {
			d.fillObject(x, into, name)
			return
		}
	case *hujson.Array:
		if into.Kind() == reflect.Slice {
			d.fillArray(x, into, name)
			return
		}
	}
	d.fillLeaf(v, into, name)
}

// isLeaf reports whether a type decodes its own text, as addresses and durations do.
func isLeaf(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(reflect.TypeFor[json.Unmarshaler]()) ||
		reflect.PointerTo(t).Implements(reflect.TypeFor[interface{ UnmarshalText([]byte) error }]())
}

func (d *document) fillObject(o *hujson.Object, into reflect.Value, name string) {
	for _, m := range o.Members {
		key := m.Name.Value.(hujson.Literal).String()
		path := key
		if name != "" {
			path = name + "." + key
		}
		field, ok := fieldFor(into, key)
		if !ok {
			d.lines[path] = d.lineOfValue(m.Name)
			d.addProblem(path, "no such setting")
			continue
		}
		d.fill(m.Value, field, path)
	}
}

// fieldFor returns the field of a struct with the JSON key.
func fieldFor(into reflect.Value, key string) (reflect.Value, bool) {
	for i := range into.NumField() {
		if into.Type().Field(i).Tag.Get("json") == key {
			return into.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func (d *document) fillArray(a *hujson.Array, into reflect.Value, name string) {
	into.Set(reflect.MakeSlice(into.Type(), len(a.Elements), len(a.Elements)))
	for i, e := range a.Elements {
		d.fill(e, into.Index(i), name+"["+strconv.Itoa(i)+"]")
	}
}

func (d *document) fillLeaf(v hujson.Value, into reflect.Value, name string) {
	plain := v.Clone()
	plain.Standardize()
	if err := json.Unmarshal(plain.Pack(), into.Addr().Interface()); err != nil {
		d.addProblem(name, "%s", strings.TrimPrefix(err.Error(), "json: "))
	}
}
