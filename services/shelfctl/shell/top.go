// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shell

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/shelfledge/shelfledge/modules/shelfctl/operatorclient"
)

// topStatements are the statements whose results the watch mode shows, one below the other.
const topStatements = `show halls;
show endpoints order by hall, endpoint;
show count of slots group by state;
show count of waiting group by class;
show waiting order by age desc limit 10;
show loads order by age desc limit 10`

// clearScreen is the escape sequence that moves the cursor to the upper left corner and clears the terminal.
const clearScreen = "\x1b[H\x1b[2J"

// Top shows halls, endpoints, slots and queues, and refreshes them at the given interval until ctx ends.
func Top(ctx context.Context, client *operatorclient.Client, out io.Writer, every time.Duration, now func() time.Time) error {
	for {
		r, err := client.Run(ctx, topStatements)
		if ctx.Err() != nil {
			return nil
		}
		var head strings.Builder
		fmt.Fprintln(&head, clearScreen+now().Format(time.TimeOnly))
		if err != nil {
			fmt.Fprintln(&head, err)
		}
		// A write error is ignored: if the terminal is closed, the signal ends the watch mode.
		_, _ = io.WriteString(out, head.String())
		Print(out, r)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(every):
		}
	}
}
