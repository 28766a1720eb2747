// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"fmt"
	"strconv"
	"strings"
)

// SignedParameter is the query parameter of a request whose stream tells in a comment before each event which worker made the event.
const SignedParameter = "signed"

// Maker is the worker that made an event of a stream.
type Maker struct {
	Event            int
	Worker, Software string
}

// comment returns the comment before an event of the maker.
func (m Maker) comment() string {
	return fmt.Sprintf("%s%s %s\n", makerPrefix, m.Worker, m.Software)
}

// Makers returns the makers of the complete events in the body of a signed stream, in the order of the body.
func Makers(body string) []Maker {
	var makers []Maker
	for text := range strings.SplitSeq(body, "\n\n") {
		var maker Maker
		var data string
		for line := range strings.SplitSeq(text, "\n") {
			if comment, ok := strings.CutPrefix(line, makerPrefix); ok {
				maker.Worker, maker.Software, _ = strings.Cut(comment, " ")
			}
			if id, ok := strings.CutPrefix(line, "id: "); ok {
				maker.Event, _ = strconv.Atoi(id)
			}
			if content, ok := strings.CutPrefix(line, "data: "); ok {
				data = content
			}
		}
		// The part after the last empty line is no complete event, nor is one whose data lacks its number.
		if maker.Event > 0 && strings.HasSuffix(data, fmt.Sprintf(".%d", maker.Event)) {
			makers = append(makers, maker)
		}
	}
	return makers
}

// makerPrefix begins the comment before a signed event.
const makerPrefix = ": from "

// WithoutMakers returns the body of a signed stream without the comments that name the makers, also if it ends inside such a comment.
func WithoutMakers(body string) string {
	var text strings.Builder
	for line := range strings.SplitAfterSeq(body, "\n") {
		if !strings.HasPrefix(line, makerPrefix) && (line == "" || !strings.HasPrefix(makerPrefix, line)) {
			text.WriteString(line)
		}
	}
	return text.String()
}
