// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package daemon_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/tests/standin"
)

// operatorResponse is the response that an operator receives.
type operatorResponse struct {
	Status     int    `json:"status"`
	RetryAfter bool   `json:"retry_after,omitempty"`
	Type       string `json:"type"`
	Body       any    `json:"body"`
}

func (r *daemonRun) postRun(key, body string) operatorResponse {
	r.t.Helper()
	q, err := http.NewRequest(http.MethodPost, r.operators+"/operator/v1/run", strings.NewReader(body))
	require.NoError(r.t, err)
	q.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(q)
	require.NoError(r.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(r.t, err)
	out := operatorResponse{Status: resp.StatusCode, RetryAfter: resp.Header.Get("Retry-After") != "", Type: resp.Header.Get("Content-Type")}
	require.NoError(r.t, json.Unmarshal([]byte(maskVarying(string(data))), &out.Body), string(data))
	return out
}

// runStatements sends a text of statements with a request identifier.
func (r *daemonRun) runStatements(key, id, text string) operatorResponse {
	r.t.Helper()
	body, err := json.Marshal(map[string]any{"text": text, "id": id, "wait_ms": 5000})
	require.NoError(r.t, err)
	return r.postRun(key, string(body))
}

// operatorStep is one text of statements and the response to it.
type operatorStep struct {
	Key    string           `json:"key"`
	Text   string           `json:"text"`
	Answer operatorResponse `json:"answer"`
}

// acceptedStatements has all forms of statements, in an order in which each is accepted.
const acceptedStatements = `create adapter fare-1 base base-a
create adapter fare-2 base base-a version 1 source 'weights/fare-2/1'
create version fare-1@1 source weights/fare-1/1 live
create version fare-1@2 source weights/fare-1/2
create version fare-1@3 live
set live fare-1@2
retire version fare-1@1
restore version fare-1@1
create service desk as fare-1@1
change service desk as fare-1@1 90%, fare-2 10%
roll service desk to fare-1@2
roll service desk to fare-1@3 at 10%
roll back service desk
create service spare as fare-2
retire service spare
create rule night for class overnight between 22:00 and 06:00 in Africa/Dakar run in h1+h2, priority 1
create rule stop for caller 'test-*' and adapter 'fare-*' refuse
change rule night for class overnight and base base-a and hall h3 run in h1
retire rule night
pin fare-1@2
unpin fare-1@2
preload fare-1@2
unpreload fare-1@2
drain endpoint h1-e1
undrain endpoint h1-e1
drain hall h2
undrain hall h2
set budget 3 loads per second 2 at once
set class kiosk priority 10 weight 4 queue 400000
set class overnight priority 1 weight 0.1 patient
reset class kiosk
set live fare-1@1; pin fare-1@2 -- two changes, one revision
undo revision 32
create adapter fare-3 base base-a version 1; retire adapter fare-3
dry run set live fare-1@3
pin fare-2@1 if revision 34
show adapters
show versions
show services
show rules
show classes
show revisions
show count of versions where adapter = fare-1
explain adapter fare-9
explain revision 3
explain revision 99
show adapters; pin fare-1@3; explain request nobody; show classes`

// rejectableStatements has well-formed statements that refer to missing objects, conflict with the configuration or come too late. The
// golden file has the response to each, with the reason where the statement is rejected.
const rejectableStatements = `pin fare-1@2 if revision 3
create adapter fare-1 base base-a
create version fare-9@1
create version fare-1
set live fare-1@9
retire version fare-1@9
restore version fare-1@3
retire adapter fare-9
retire adapter fare-1
retire version fare-2@1
create service desk as fare-1@1
change service none as fare-1@1
change rule none refuse
create rule stop refuse
create rule late between 25:00 and 26:00 refuse
create rule far run in h9
create rule zone between 1:00 and 2:00 in Nowhere/Else refuse
retire rule none
retire service none
create service odd as fare-1@1 60%, fare-2 60%
roll service none to fare-1@1
roll service desk to fare-1@1 at 200%
roll service desk to fare-1
roll back service desk
roll back service none
pin fare-9@1
unpin fare-9@1
preload fare-9@1
undrain hall h9
set class '' priority 1 weight 1
undo revision 999
undo revision 1
show nothing
show adapters where nothing = 1`

func TestOperatorStatementsOverHTTP(t *testing.T) {
	parallelUnlessUpdate(t)
	r := startDaemon(t, 0, nil)
	r.waitReady()
	var steps []operatorStep
	for i, text := range strings.Split(acceptedStatements, "\n") {
		a := r.runStatements("admin", fmt.Sprintf("step-%d", i+1), text)
		require.Equal(t, http.StatusOK, a.Status, "%s: %v", text, a.Body)
		steps = append(steps, operatorStep{Key: "admin", Text: text, Answer: a})
	}
	steps = append(steps, operatorStep{Key: "admin", Text: "repeated: pin fare-2@1", Answer: r.runStatements("admin", "step-36", "pin fare-2@1")})
	for i, text := range strings.Split(rejectableStatements, "\n") {
		steps = append(steps, operatorStep{Key: "admin", Text: text, Answer: r.runStatements("admin", fmt.Sprintf("doubtful-%d", i+1), text)})
	}
	for _, x := range []operatorStep{
		{Key: "reader", Text: "show adapters"}, {Key: "reader", Text: "pin fare-1@2"}, {Key: "changer", Text: "pin fare-1@2"},
		{Key: "changer", Text: "set budget 1 loads per second 1 at once"}, {Key: "changer", Text: "undo revision 2"}, {Key: "changer", Text: "drain hall h1"},
		{Key: "admin", Text: "frobnicate"}, {Key: "nobody", Text: "show adapters"}, {Key: "nobody", Text: "show adapters"},
		{Key: "nobody", Text: "show adapters"}, {Key: "admin", Text: "show adapters"},
	} {
		x.Answer = r.runStatements(x.Key, "denied-"+x.Text, x.Text)
		steps = append(steps, x)
	}
	checkGolden(t, "operator_answers.json", steps)
	checkGolden(t, "stored_configuration.json", readableStoredValues(t, r.cluster.KV.Dump(), "/config/"))
}

func TestOperatorRequestFailures(t *testing.T) {
	parallelUnlessUpdate(t)
	r := startDaemon(t, 0, nil)
	r.waitReady()
	out := map[string]operatorResponse{"unreadable": r.postRun("admin", "{")}
	r.cluster.KV.SetFaults(standin.KVFaults{Down: true})
	out["unavailable"] = r.runStatements("admin", "lost", "create adapter fare-1 base base-a")
	checkGolden(t, "operator_failures.json", out)
}

func TestShowRowsOfLoadedAdapter(t *testing.T) {
	parallelUnlessUpdate(t)
	r := startDaemon(t, 0, nil)
	r.waitReady()
	a := r.runStatements("admin", "loaded", "create adapter fare-1 base base-a version 1; pin fare-1@1; preload fare-1@1")
	require.Equal(t, http.StatusOK, a.Status, a.Body)
	for _, wanted := range []string{
		"slots where adapter = fare-1@1 and state = resident and pinned = true and running = 0 and hall = h1 and endpoint like 'h1-e?'",
		"endpoints where pool = h1/base-a and placer = h1-i1 and up = true and leaving = false and drained = false and frozen = false " +
			"and fence > 0 and slots = 4 and max_batch = 16",
		"instances where instance = h1-i1 and hall = h1 and alive = true and leaving = false and listed = true",
		"halls where hall = h1 and cut = false and speaker = h1-i1",
		"events where kind = loaded and adapter = fare-1@1 and pool = h1/base-a and instance = h1-i1",
	} {
		r.waitFor(func() bool {
			a := r.runStatements("reader", "", "show count of "+wanted)
			return a.Status == http.StatusOK && !strings.Contains(string(encodeIndented(t, a.Body)), " 0\n")
		}, "no row of "+wanted)
	}
}
