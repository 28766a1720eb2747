// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry_test

import (
	"encoding/json"
	"go/ast"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// encodedType is a type of the program that is found by the names that it is encoded with.
type encodedType struct {
	directory string
	pkg       string
	name      string
}

// findType gives the one struct whose fields are encoded in MessagePack by just these names.
func findType(t *testing.T, names ...string) encodedType {
	t.Helper()
	wanted := sortedLines(names)
	var found []encodedType
	for _, file := range sources(t) {
		for _, declaration := range file.tree.Decls {
			types, ok := declaration.(*ast.GenDecl)
			if !ok {
				continue
			}
			for _, one := range types.Specs {
				specification, ok := one.(*ast.TypeSpec)
				if !ok {
					continue
				}
				if structure, ok := specification.Type.(*ast.StructType); ok && sortedLines(encodedNames(structure)) == wanted {
					found = append(found, encodedType{directory: file.directory, pkg: file.tree.Name.Name, name: specification.Name.Name})
				}
			}
		}
	}
	require.Len(t, found, 1, "types of the program that are encoded with the names %v", names)
	return found[0]
}

func encodedNames(structure *ast.StructType) []string {
	var names []string
	for _, field := range structure.Fields.List {
		tag := ""
		if field.Tag != nil {
			tag, _ = literal(field.Tag)
		}
		name, _, _ := strings.Cut(reflect.StructTag(tag).Get("msgpack"), ",")
		if name != "" {
			names = append(names, name)
			continue
		}
		for _, one := range field.Names {
			names = append(names, one.Name)
		}
	}
	return names
}

// driver builds the program with the file laid over a type's package that prints its examples.
func driver(t *testing.T, identity string, of encodedType) func(environment ...string) string {
	t.Helper()
	content := strings.NewReplacer("PACKAGE", of.pkg, "IDENTITY", identity, "TYPE{}", of.name+"{}", "new(TYPE)", "new("+of.name+")").
		Replace(string(input(t, filepath.Join("driver", "driver.go.txt"))))
	directory := t.TempDir()
	source, overlay, binary := filepath.Join(directory, "driver.go"), filepath.Join(directory, "overlay.json"), filepath.Join(directory, "program")
	require.NoError(t, os.WriteFile(source, []byte(content), 0o600))
	encoded, err := json.Marshal(map[string]any{"Replace": map[string]string{filepath.Join(of.directory, "zz_pinned.go"): source}})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(overlay, encoded, 0o600))
	build := exec.Command("go", "build", "-overlay", overlay, "-o", binary, program)
	build.Dir = root(t)
	output, err := build.CombinedOutput()
	require.NoError(t, err, "%s", output)
	return func(environment ...string) string {
		command := exec.Command(binary)
		command.Env = append(os.Environ(), append(environment, "PINNED_TYPE="+identity)...)
		output, err := command.CombinedOutput()
		require.NoError(t, err, "%s", output)
		return string(output)
	}
}

// checkDecoding decodes the pinned bytes and demands the same bytes when they are encoded again.
func checkDecoding(t *testing.T, file string, run func(environment ...string) string) {
	t.Helper()
	for _, line := range strings.Split(string(input(t, file)), "\n") {
		fields := strings.SplitN(line, " ", 3)
		require.Len(t, fields, 3)
		require.Equal(t, "again "+fields[1]+" "+fields[2]+"\n", run("PINNED_HEX="+fields[1]), "decoded and encoded again: %s", fields[0])
	}
}

// TestPeerMessages pins one example of each message between instances.
func TestPeerMessages(t *testing.T) {
	t.Parallel()
	run := driver(t, "message", findType(t, "r", "v", "q", "s", "l", "u", "t"))
	pin(t, "peer_messages.txt", run("PINNED_EACH=1"))
	checkDecoding(t, "peer_messages.txt", run)
}

// TestPlannerRecord pins the record of the planner in the store.
func TestPlannerRecord(t *testing.T) {
	t.Parallel()
	run := driver(t, "record", findType(t, "Holder", "Address", "Term", "Ordering", "Released", "Former", "RecentLoads", "Earlier"))
	pin(t, "planner_record.txt", run())
	checkDecoding(t, "planner_record.txt", run)
}
