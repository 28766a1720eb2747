// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package docs_test

// exceptions are names in backticks that the repository does not define, each with its reason.
var exceptions = map[string]string{
	"IsErr...":                              "stands for the functions of all layers",
	"errorlint":                             "a linter",
	"rest":                                  "a package of go-zero",
	"rest.Serverless":                       "of go-zero",
	"httpc":                                 "a package of go-zero",
	"time.Now":                              "of the standard library",
	"http.ReadResponse":                     "of the standard library",
	"fleetbench sweep":                      "the users' bench",
	"PAPER-queue-part-agent-fair-d65f":      "a paper",
	"TestAProcessThatEndedIsReplacedAtOnce": "its incident says why it went",
	"--":                                    "begins a comment of the language",
	"'":                                     "a quotation mark of the language",
	"set budget":                            "begins statements of the language",
	"drain hall":                            "begins statements of the language",
	"printf %s KEY | sha256sum":             "a command of the system",
	"adapter@version":                       "a form, not a name",
	"vllm:lora_requests_info":               "a metric of the endpoints",
	"Idempotency-Key":                       "a header that is not sent",
	"/v3/lease/grant|keepalive|revoke":      "three paths in one",
	"shelfledge.Peer/Push":                  "a call of gRPC, put together from its parts",
}
