// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package process

import (
	"encoding/json"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/modules/fingerprint"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/quarantine"
)

// quarantinedRequest is a request that is quarantined, or all requests whose prompts have a part that is, in the form sent to operators.
type quarantinedRequest struct {
	Fingerprint string   `json:"fingerprint"`
	Endpoints   []string `json:"endpoints"`
	HeldMS      int64    `json:"held_ms"`
	// Part is set for a part of prompts; its fingerprint begins with its name if that is a short hexadecimal number.
	Part bool `json:"part,omitempty"`
}

// appendHeld appends what is quarantined to a list for operators.
func appendHeld(list []quarantinedRequest, held map[fingerprint.Fingerprint]quarantine.Hold, areParts bool) []quarantinedRequest {
	for key, hold := range held {
		list = append(list, quarantinedRequest{Fingerprint: key.String(), Endpoints: hold.Endpoints, HeldMS: hold.Remaining.Milliseconds(), Part: areParts})
	}
	return list
}

// withQuarantineRoutes adds routes to a handler by which operators list the requests and parts of prompts that are quarantined, and release
// one of them.
func withQuarantineRoutes(handler http.Handler, control *coordinator.Coordinator, log *logrus.Entry) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", handler)
	mux.HandleFunc("GET /quarantine", func(writer http.ResponseWriter, _ *http.Request) {
		held := appendHeld([]quarantinedRequest{}, control.QuarantinedRequests(), false)
		held = appendHeld(held, control.QuarantinedParts(), true)
		writer.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(writer).Encode(held); err != nil {
			log.WithError(err).Debug("the list of quarantined requests could not be sent to an operator")
		}
	})
	mux.HandleFunc("DELETE /quarantine/{fingerprint}", func(writer http.ResponseWriter, request *http.Request) {
		named, ok := fingerprint.Parse(request.PathValue("fingerprint"))
		if !ok {
			http.Error(writer, "a fingerprint has 32 hexadecimal digits", http.StatusBadRequest)
			return
		}
		if !control.ReleaseRequest(named) {
			http.Error(writer, "no such request is known here", http.StatusNotFound)
			return
		}
		writer.WriteHeader(http.StatusNoContent)
	})
	return mux
}
