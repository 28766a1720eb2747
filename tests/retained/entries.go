// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package retained

import "reflect"

// Entries counts the entries of all maps, slices and arrays that are reachable from v.
func Entries(v any) int {
	seen := make(map[uintptr]bool)
	return countEntries(reflect.ValueOf(v), seen)
}

func countEntries(v reflect.Value, seen map[uintptr]bool) int {
	switch v.Kind() {
	case reflect.Pointer, reflect.Map:
		if v.IsNil() || seen[v.Pointer()] {
			return 0
		}
		seen[v.Pointer()] = true
	default:
	}
	sum := 0
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		return countEntries(v.Elem(), seen)
	case reflect.Struct:
		for i := range v.NumField() {
			sum += countEntries(v.Field(i), seen)
		}
	case reflect.Map:
		for entries := v.MapRange(); entries.Next(); {
			sum += 1 + countEntries(entries.Value(), seen)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			sum += 1 + countEntries(v.Index(i), seen)
		}
	default:
	}
	return sum
}
