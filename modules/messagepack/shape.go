// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package messagepack

import (
	"encoding"
	"reflect"
	"strings"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// allocationFactor is how many times the library allocates the elements of a list: it appends to an empty list one that it has made for them. A map
// takes about as much for its pairs.
const allocationFactor = 2

// shape tells what the library allocates for a value of a Go type besides the bytes of its encoding. A nil shape takes nothing that counts.
type shape struct {
	// ownBytes is what a pointer's value takes, elementBytes what each element of a list or pair of a map takes.
	ownBytes, elementBytes int
	// element is the shape of the elements of a list and of the values of a map.
	element *shape
	// fields and ordered are the shapes of a struct's fields, by their names in a map and by their places in an array.
	fields  map[string]*shape
	ordered []*shape
}

// shapes holds the shapes of the types that were decoded, by type.
var shapes sync.Map

// shapeOf returns the shape of a type.
func shapeOf(t reflect.Type) *shape {
	if found, ok := shapes.Load(t); ok {
		return found.(*shape)
	}
	built := builder{}.build(t)
	shapes.Store(t, built)
	return built
}

// builder holds the shapes of one type and of the types in it, which may refer to each other.
type builder map[reflect.Type]*shape

// decoders are the interfaces of types that decode themselves, from bytes that the encoding has.
var decoders = []reflect.Type{
	reflect.TypeFor[msgpack.CustomDecoder](), reflect.TypeFor[msgpack.Unmarshaler](),
	reflect.TypeFor[encoding.BinaryUnmarshaler](), reflect.TypeFor[encoding.TextUnmarshaler](),
}

func decodesItself(t reflect.Type) bool {
	for _, decoder := range decoders {
		if t.Implements(decoder) || reflect.PointerTo(t).Implements(decoder) {
			return true
		}
	}
	return false
}

func (b builder) build(t reflect.Type) *shape {
	if found, ok := b[t]; ok {
		return found
	}
	if t.Kind() != reflect.Pointer && decodesItself(t) {
		return nil
	}
	s := &shape{}
	b[t] = s
	switch t.Kind() {
	case reflect.Pointer:
		s.ownBytes, s.element = int(t.Elem().Size()), b.build(t.Elem())
	case reflect.Slice, reflect.Array:
		s.elementBytes, s.element = allocationFactor*int(t.Elem().Size()), b.build(t.Elem())
	case reflect.Map:
		s.elementBytes, s.element = allocationFactor*int(t.Key().Size()+t.Elem().Size()), b.build(t.Elem())
	case reflect.Interface:
		// The library decodes a list of any values, or a map of them by strings.
		s.elementBytes, s.element = allocationFactor*int(reflect.TypeFor[string]().Size()+t.Size()), s
	case reflect.Struct:
		s.fields = make(map[string]*shape)
		b.addFields(s, t)
	default:
		b[t] = nil
		return nil
	}
	return s
}

// addFields adds the fields of a struct, and those of the structs that it embeds.
func (b builder) addFields(s *shape, t reflect.Type) {
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("msgpack"), ",")
		switch {
		case name == "-" || (!field.IsExported() && !field.Anonymous):
			continue
		case field.Anonymous && name == "" && field.Type.Kind() == reflect.Struct:
			b.addFields(s, field.Type)
			continue
		case name == "":
			name = field.Name
		}
		s.fields[name] = b.build(field.Type)
		s.ordered = append(s.ordered, s.fields[name])
	}
}
