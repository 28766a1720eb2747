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
	flatten(values, "", file)
	pin(t, "deploy/system.values.txt", lines(values))
}

// TestDeployBuildsWhatItRuns holds that the package that is built exists and has the name that is run.
func TestDeployBuildsWhatItRuns(t *testing.T) {
	pinned := read(t, "deploy/system.values.txt")
	listed, err := goTool("list", "-f", "{{.Name}}", entryProgram)
	require.NoError(t, err)
	require.Equal(t, "main", strings.TrimSpace(listed))
	require.Contains(t, pinned, entryProgram)
	require.Contains(t, pinned, "target/"+filepath.Base(entryProgram)+" ")
}

// flatten lists values by their path, with a text's quotes to tell it from a number.
func flatten(out map[string]string, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for key, one := range value {
			flatten(out, strings.TrimPrefix(path+"."+key, "."), one)
		}
	case []any:
		for i, one := range value {
			flatten(out, fmt.Sprintf("%s[%d]", path, i), one)
		}
	case string:
		out[path] = fmt.Sprintf("%q", value)
	default:
		out[path] = fmt.Sprint(value)
	}
}
