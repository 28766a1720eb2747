// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// ReceivedOrder is one order that a worker received.
type ReceivedOrder struct {
	Operation string
	Adapter   string
	Holder    string
	Token     int64
	At        time.Time
}

// Orders returns the orders that the worker received so far.
func (w *Worker) Orders() []ReceivedOrder {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.orders)
}

// Overfull returns how many load orders exceeded the capacity of the worker.
func (w *Worker) Overfull() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.overCapacityLoads
}

// ModelLoads returns when loads of the base model began.
func (w *Worker) ModelLoads() []time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.modelLoads)
}

// Loading returns how many loads are under way.
func (w *Worker) Loading() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.finishLoads()
	return len(w.pending)
}

// holdsModel reports whether the worker holds its base model, which is kept as the adapter without a name where it has to be loaded.
func (w *Worker) holdsModel() bool {
	_, loaded := w.adapters[""]
	return w.options.Model != "" && (loaded || !w.options.Unloaded)
}

func (w *Worker) models() []map[string]any {
	if !w.holdsModel() {
		return []map[string]any{}
	}
	names := []string{}
	for adapter, version := range w.adapters {
		if adapter != "" {
			names = append(names, fmt.Sprintf("%s@%d", adapter, version))
		}
	}
	return []map[string]any{{"name": w.options.Model, "version": 1, "adapters": names}}
}

// finishLoads makes adapters resident whose load time has passed.
func (w *Worker) finishLoads() {
	now := time.Now()
	for adapter, at := range w.pending {
		if now.Before(at) {
			continue
		}
		if w.inUse[adapter] > 0 && w.isReplacing(adapter) {
			continue
		}
		delete(w.pending, adapter)
		w.adapters[adapter] = max(1, w.versions[adapter])
	}
}

// isReplacing reports whether the worker was ordered to replace its version of an adapter by another one. It waits for the runs on its
// version, and begins no further ones.
func (w *Worker) isReplacing(adapter string) bool {
	_, resident := w.adapters[adapter]
	_, pending := w.pending[adapter]
	return resident && pending
}

func (w *Worker) serveReport(writer http.ResponseWriter) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.finishLoads()
	pending := []string{}
	for adapter := range w.pending {
		if adapter == "" {
			pending = append(pending, w.options.Model)
			continue
		}
		pending = append(pending, w.options.Model+"/"+adapter+"@1")
	}
	reply(writer, http.StatusOK, map[string]any{"models": w.models(), "sequence": w.sequence, "pending": pending})
}

func (w *Worker) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Operation string `json:"operation"`
		Adapter   string `json:"adapter"`
		Version   int    `json:"version"`
		Expected  *int64 `json:"expected_count"`
		Holder    string `json:"holder"`
		Token     int64  `json:"fencing_token"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil || body.Holder == "" {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.finishLoads()
	w.orders = append(w.orders, ReceivedOrder{Operation: body.Operation, Adapter: body.Adapter, Holder: body.Holder, Token: body.Token, At: time.Now()})
	status := http.StatusConflict
	if body.Expected == nil || *body.Expected == w.sequence {
		w.versions[body.Adapter] = max(w.versions[body.Adapter], body.Version)
		status = w.take(body.Operation, body.Adapter)
	}
	if take(&w.faults.LoseOrders) {
		panic(http.ErrAbortHandler)
	}
	writer.WriteHeader(status)
}

// take executes an order and returns the HTTP status of the answer.
func (w *Worker) take(operation, adapter string) int {
	_, resident := w.adapters[adapter]
	_, loading := w.pending[adapter]
	if operation == "unload" {
		if !resident {
			return http.StatusOK
		}
		if w.inUse[adapter] > 0 {
			return http.StatusConflict
		}
		delete(w.adapters, adapter)
		w.sequence++
		return http.StatusOK
	}
	switch {
	case resident && w.adapters[adapter] >= w.versions[adapter]:
		return http.StatusOK
	case loading:
		return http.StatusAccepted
	}
	if adapter == "" {
		w.modelLoads = append(w.modelLoads, time.Now())
	} else if !resident && w.takenPlaces() >= w.options.Capacity {
		w.overCapacityLoads++
	}
	w.sequence++
	w.pending[adapter] = time.Now().Add(w.options.LoadTime)
	return http.StatusAccepted
}

// takenPlaces returns how many places of adapters are taken or about to be.
func (w *Worker) takenPlaces() int {
	places := len(w.adapters) + len(w.pending)
	if _, loaded := w.adapters[""]; loaded {
		places--
	}
	if _, loading := w.pending[""]; loading {
		places--
	}
	return places
}
