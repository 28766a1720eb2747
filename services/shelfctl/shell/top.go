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

// topQuery is what the watch mode shows, a table under the other.
const topQuery = `show halls;
show endpoints order by hall, endpoint;
show count of slots group by state;
show count of waiting group by class;
show waiting order by age desc limit 10;
show loads order by age desc limit 10`

// clearScreen moves to the first place of the terminal and clears all of it.
const clearScreen = "\x1b[H\x1b[2J"

// Top shows halls, endpoints, slots and queues again and again until ctx ends.
func Top(ctx context.Context, client *operatorclient.Client, out io.Writer, every time.Duration, now func() time.Time) error {
	for {
		r, err := client.Run(ctx, topQuery)
		if ctx.Err() != nil {
			return nil
		}
		var head strings.Builder
		fmt.Fprintln(&head, clearScreen+now().Format(time.TimeOnly))
		if err != nil {
			fmt.Fprintln(&head, err)
		}
		// Where the terminal is gone, the watch ends by its signal.
		_, _ = io.WriteString(out, head.String())
		Print(out, r)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(every):
		}
	}
}
