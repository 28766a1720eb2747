// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package standin

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// AdapterVersions is how many versions of each adapter AdapterCommands creates.
const AdapterVersions = 2

// Adapter returns the name of an adapter of AdapterCommands with a version. Versions begin at 1.
func Adapter(number, version int) string {
	return fmt.Sprintf("fare-%03d@%d", number, version)
}

// AdapterCommands returns operator commands that create adapters, each on one of two base models, and a service that uses two of them.
func AdapterCommands(count int) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, "create adapter fare-%03d base base-%c version 1 source weights/fare-%03d-1;\n", i, 'a'+i%2, i)
		fmt.Fprintf(&text, "create version %s source weights/fare-%03d-2;\n", Adapter(i, AdapterVersions), i)
	}
	fmt.Fprintf(&text, "create service desk as %s 90%%, %s 10%%;\n", Adapter(0, 1), Adapter(2, AdapterVersions))
	return text.String()
}

// RunShelfctl runs commands at a daemon with the built shelfctl program and returns the output of the program. The key file and the command file
// are written to folder.
func RunShelfctl(program string, daemon netip.AddrPort, folder, commands string) (string, error) {
	key, file := filepath.Join(folder, "key"), filepath.Join(folder, "commands.txt")
	for name, content := range map[string]string{key: OperatorKey, file: commands} {
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			return "", err
		}
	}
	output, err := exec.Command(program, "--address", daemon.String(), "--key-file", key, "--wait", "10s", "run", "-f", file).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("shelfctl: %w: %s", err, output)
	}
	return string(output), nil
}
