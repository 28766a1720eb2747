// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shell_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/table"
	"github.com/shelfledge/shelfledge/modules/shelfctl/operatorclient"
	"github.com/shelfledge/shelfledge/routers/daemon/operator"
	"github.com/shelfledge/shelfledge/services/daemon/command"
	"github.com/shelfledge/shelfledge/services/daemon/query"
	"github.com/shelfledge/shelfledge/services/shelfctl/shell"
)

func newResponse(list ...operator.Answer) operator.RunResponse {
	return operator.RunResponse{Answers: list}
}

func changeAnswer(inForce, dryRun bool) operator.Answer {
	return operator.Answer{Change: &command.Result{DryRun: dryRun, Halls: []command.HallResult{{Hall: "h1", InForce: true}, {Hall: "h2", InForce: inForce}}}}
}

func TestExitCode(t *testing.T) {
	incomplete := operator.Answer{Parts: []query.Part{{Hall: "h1"}, {Hall: "h2", Missing: []string{"i1"}}}}
	for name, c := range map[string]struct {
		out  operator.RunResponse
		want int
	}{
		"no answers":                  {newResponse(), shell.ExitOK},
		"in force":                    {newResponse(changeAnswer(true, false)), shell.ExitOK},
		"not in force in one hall":    {newResponse(changeAnswer(false, false)), shell.ExitNotInForce},
		"dry run":                     {newResponse(changeAnswer(false, true)), shell.ExitOK},
		"silent hall":                 {newResponse(operator.Answer{Parts: []query.Part{{Hall: "h1", Silent: true}}}), shell.ExitIncomplete},
		"missing instance":            {newResponse(incomplete), shell.ExitIncomplete},
		"not in force and incomplete": {newResponse(incomplete, changeAnswer(false, false)), shell.ExitNotInForce},
	} {
		require.Equal(t, c.want, shell.ExitCode(c.out, nil), name)
	}
	for kind, want := range map[operator.ErrorKind]int{
		operator.KindSyntax: shell.ExitUsage, operator.KindSemantic: shell.ExitUsage, operator.KindConflict: shell.ExitConflict,
		operator.KindUnavailable: shell.ExitUnavailable, operator.KindUnsettled: shell.ExitUnsettled, operator.KindDenied: shell.ExitDenied,
		operator.KindTooMany: shell.ExitDenied, "kind of a newer daemon": shell.ExitFailed,
	} {
		require.Equal(t, want, shell.ExitCode(operator.RunResponse{Error: &operator.Error{Kind: kind}}, nil), "%s", kind)
	}
	require.Equal(t, shell.ExitUnavailable, shell.ExitCode(newResponse(), operatorclient.ErrNoDaemon{}))
	require.Equal(t, shell.ExitFailed, shell.ExitCode(newResponse(), errors.New("other")))
}

func TestPrint(t *testing.T) {
	rows := &table.Table{Columns: []table.Column{{Name: "name", Kind: table.Text}, {Name: "slots", Kind: table.Number}}}
	rows.Add(table.NewText("e1"), table.NewNumber(12))
	rows.Add(table.NewText(strings.Repeat("x", 61)), table.NewNumber(3))
	out := newResponse(operator.Answer{Table: rows, Parts: []query.Part{{Hall: "h1", Age: 3 * time.Millisecond}, {Hall: "h2", Silent: true}}}, changeAnswer(false, false))
	out.Error = &operator.Error{Kind: operator.KindTooMany, Message: "wait"}
	var text strings.Builder
	shell.Print(&text, out)
	wide := strings.Repeat("x", 59) + "…"
	require.Equal(t, strings.Join([]string{
		"name" + strings.Repeat(" ", 58) + "slots",
		"e1" + strings.Repeat(" ", 63) + "12",
		wide + "      3",
		"(2 rows)",
		"-- hall h1: 3 ms old",
		"-- hall h2 did not answer: its part is missing",
		"accepted as revision 0",
		"  h1       in force after 0 ms",
		"  h2       not yet in force",
		"too many: wait",
		"",
	}, "\n"), text.String())
}

func TestComplete(t *testing.T) {
	require.Equal(t, []string{"show endpoints where"}, shell.Complete("show endpoints whe"))
	require.Contains(t, shell.Complete("show e"), "show endpoints")
	require.Equal(t, []string{"SHOW explain"}, shell.Complete("SHOW EXP"))
	require.Empty(t, shell.Complete("show zzz"))
}
