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

// encodedType is a type of the program, identified by the encoded names of its fields.
type encodedType struct {
	directory string
	pkg       string
	name      string
}

// findType returns the only struct whose fields have exactly these names in MessagePack.
func findType(t *testing.T, names ...string) encodedType {
	t.Helper()
	wanted := sortedUniqueLines(names)
	var found []encodedType
	for _, file := range parsedSources(t) {
		for _, declaration := range file.tree.Decls {
			types, ok := declaration.(*ast.GenDecl)
			if !ok {
				continue
			}
			for _, spec := range types.Specs {
				specification, ok := spec.(*ast.TypeSpec)
				if !ok {
					continue
				}
				if structure, ok := specification.Type.(*ast.StructType); ok && sortedUniqueLines(encodedNames(structure)) == wanted {
					found = append(found, encodedType{directory: file.directory, pkg: file.tree.Name.Name, name: specification.Name.Name})
				}
			}
		}
	}
	require.Len(t, found, 1, "want exactly one struct type with the encoded names %v", names)
	return found[0]
}

func encodedNames(structure *ast.StructType) []string {
	var names []string
	for _, field := range structure.Fields.List {
		tag := ""
		if field.Tag != nil {
			tag, _ = stringLiteral(field.Tag)
		}
		name, _, _ := strings.Cut(reflect.StructTag(tag).Get("msgpack"), ",")
		if name != "" {
			names = append(names, name)
			continue
		}
		for _, ident := range field.Names {
			names = append(names, ident.Name)
		}
	}
	return names
}

// buildDriver builds the program with testdata/driver/driver.go.txt added to the type's package by a build overlay, and
// returns a function that runs this program and returns its output: the examples of the type.
func buildDriver(t *testing.T, identity string, target encodedType) func(environment ...string) string {
	t.Helper()
	content := strings.NewReplacer("PACKAGE", target.pkg, "IDENTITY", identity, "TYPE{}", target.name+"{}", "new(TYPE)", "new("+target.name+")").
		Replace(string(readTestdata(t, filepath.Join("driver", "driver.go.txt"))))
	directory := t.TempDir()
	source, overlay, binary := filepath.Join(directory, "driver.go"), filepath.Join(directory, "overlay.json"), filepath.Join(directory, "program")
	require.NoError(t, os.WriteFile(source, []byte(content), 0o600))
	encoded, err := json.Marshal(map[string]any{"Replace": map[string]string{filepath.Join(target.directory, "zz_pinned.go"): source}})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(overlay, encoded, 0o600))
	build := exec.Command("go", "build", "-overlay", overlay, "-o", binary, program)
	build.Dir = moduleRoot(t)
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

// checkRoundTrip checks that decoding and re-encoding each example of the golden file gives the same bytes.
func checkRoundTrip(t *testing.T, file string, run func(environment ...string) string) {
	t.Helper()
	for _, line := range strings.Split(string(readTestdata(t, file)), "\n") {
		fields := strings.SplitN(line, " ", 3)
		require.Len(t, fields, 3)
		require.Equal(t, "again "+fields[1]+" "+fields[2]+"\n", run("PINNED_HEX="+fields[1]), "%s decoded and encoded again", fields[0])
	}
}

// TestPeerMessages compares one example of each message between instances with the golden file.
func TestPeerMessages(t *testing.T) {
	t.Parallel()
	run := buildDriver(t, "message", findType(t, "r", "v", "q", "s", "l", "u", "t"))
	checkGolden(t, "peer_messages.txt", run("PINNED_EACH=1"))
	checkRoundTrip(t, "peer_messages.txt", run)
}

// TestPlannerRecord compares the planner's record in the store with the golden file.
func TestPlannerRecord(t *testing.T) {
	t.Parallel()
	run := buildDriver(t, "record", findType(t, "Holder", "Address", "Term", "Ordering", "Released", "Former", "RecentLoads", "Earlier", "Era"))
	checkGolden(t, "planner_record.txt", run())
	checkRoundTrip(t, "planner_record.txt", run)
}
