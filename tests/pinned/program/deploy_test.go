// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package program_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
)

func TestDeployFile(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	require.NoError(t, err)
	var file map[string]any
	require.NoError(t, toml.Unmarshal(raw, &file))
	values := make(map[string]string)
	flattenValues(values, "", file)
	checkGolden(t, "deploy/system.values.txt", formatValues(values))
}

// TestDeployFileRunsBuiltProgram checks that the deploy file builds an existing main package and runs the program of that name.
func TestDeployFileRunsBuiltProgram(t *testing.T) {
	pinned := readTestdata(t, "deploy/system.values.txt")
	listed, err := runGo("list", "-f", "{{.Name}}", entryProgram)
	require.NoError(t, err)
	require.Equal(t, "main", strings.TrimSpace(listed))
	require.Contains(t, pinned, entryProgram)
	require.Contains(t, pinned, "target/"+filepath.Base(entryProgram)+" ")
}

// flattenValues adds values to out by their paths. Strings are quoted, which distinguishes them from numbers.
func flattenValues(out map[string]string, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for key, element := range value {
			flattenValues(out, strings.TrimPrefix(path+"."+key, "."), element)
		}
	case []any:
		for i, element := range value {
			flattenValues(out, fmt.Sprintf("%s[%d]", path, i), element)
		}
	case string:
		out[path] = fmt.Sprintf("%q", value)
	default:
		out[path] = fmt.Sprint(value)
	}
}
