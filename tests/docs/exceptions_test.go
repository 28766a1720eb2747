// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package docs_test

// exceptions maps names in backticks that the repository does not define to the reason for using them.
var exceptions = map[string]string{
	"IsErr...":                              "placeholder for the functions of all layers",
	"errorlint":                             "a linter",
	"rest":                                  "a package of go-zero",
	"rest.Serverless":                       "an identifier of go-zero",
	"httpc":                                 "a package of go-zero",
	"time.Now":                              "of the standard library",
	"http.ReadResponse":                     "of the standard library",
	"fleetbench sweep":                      "the users' bench",
	"PAPER-queue-part-agent-fair-d65f":      "a paper",
	"TestAProcessThatEndedIsReplacedAtOnce": "a removed test; its incident page gives the reason",
	"--":                                    "start of a comment in the operators' language",
	"'":                                     "quotation mark in the operators' language",
	"set budget":                            "start of statements in the operators' language",
	"drain hall":                            "start of statements in the operators' language",
	"printf %s KEY | sha256sum":             "a command of the operating system",
	"adapter@version":                       "a format, not a name",
	"vllm:lora_requests_info":               "a metric of the endpoints",
	"Idempotency-Key":                       "a header that is not sent",
	"/v3/lease/grant|keepalive|revoke":      "abbreviation of three paths",
	"shelfledge.Peer/Push":                  "a gRPC method whose name the code builds from parts",
}
