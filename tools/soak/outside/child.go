// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package outside

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
)

// StoreOptions are the command-line options of the store process.
type StoreOptions struct {
	Control string `help:"IP:PORT at which the soak steers this process." required:""`
}

// EndpointOptions are the command-line options of an endpoint process.
type EndpointOptions struct {
	Control    string        `help:"IP:PORT at which the soak steers this process." required:""`
	Store      string        `help:"IP:PORT at which the store's process is steered." required:""`
	ID         string        `help:"The endpoint's identifier." required:""`
	Hall       string        `help:"The hall that it stands in." required:""`
	Software   string        `help:"The version of its software." default:"v1"`
	Model      string        `help:"Its base model; empty for a plain service." default:""`
	Slots      int           `help:"Requests at once." default:"16"`
	Capacity   int           `help:"Places for adapters." default:"8"`
	LoadTime   time.Duration `help:"How long a load takes." default:"60ms"`
	Events     int           `help:"Events of a stream." default:"8"`
	Pause      time.Duration `help:"Pause between two events." default:"4ms"`
	UntilClose float64       `help:"Share of answers with neither a length nor chunks." default:"0"`
	CutOff     float64       `help:"Share of these that are broken off." default:"0"`
	Journal    string        `help:"The file that takes a line for each begin and end of a run." required:""`
}

// headerTimeout is the time-out for reading the header of a control request.
const headerTimeout = 5 * time.Second

// keyValue is one key of the store and its value.
type keyValue struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// storeStatus is the answer of the store process to GET /reading.
type storeStatus struct {
	Address string `json:"address"`
}

// endpointStatus is the answer of an endpoint process to GET /account.
type endpointStatus struct {
	Overfull int `json:"overfull"`
}

// RunStore runs a store until the process is stopped. It returns an error if the control server fails.
func RunStore(o StoreOptions) error {
	store := platformstandin.NewStore()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /reading", respond(func() any { return storeStatus{Address: store.Address()} }))
	mux.HandleFunc("POST /put", handleJSON(func(i keyValue) { store.Put(i.Key, i.Value) }))
	mux.HandleFunc("POST /remove", handleJSON(func(i keyValue) { store.Remove(i.Key) }))
	mux.HandleFunc("POST /faults", handleJSON(store.SetFaults))
	mux.HandleFunc("POST /drop-history", handleJSON(func(struct{}) { store.DropHistory() }))
	mux.HandleFunc("POST /revoke", handleJSON(func(struct{}) { store.RevokeLeases() }))
	mux.HandleFunc("POST /silence-open", handleJSON(func(struct{}) { store.StallOpenConnections() }))
	return serve(o.Control, mux)
}

// RunEndpoint runs an endpoint until the process is stopped. It returns an error if the journal cannot be opened or the control server
// fails.
func RunEndpoint(o EndpointOptions) error {
	file, err := os.OpenFile(o.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	journal := &journal{encoder: json.NewEncoder(file)}
	service := platformstandin.PlainService
	if o.Model != "" {
		service = platformstandin.ModelService
	}
	store := NewStoreHandle(o.Store)
	worker := platformstandin.NewRegisteredWorker(platformstandin.Registry{
		Put:    func(key string, value any) { logFailure("put", store.Put(key, value)) },
		Remove: func(key string) { logFailure("remove", store.Remove(key)) },
	}, platformstandin.WorkerOptions{
		ID: o.ID, Service: service, Zone: o.Hall, Software: o.Software, Slots: o.Slots, Model: o.Model, Capacity: o.Capacity, LoadTime: o.LoadTime,
		Events: o.Events, Pause: o.Pause, Journal: journal.write, UntilClose: o.UntilClose, CutOff: o.CutOff,
		Crash: func() { os.Exit(crashExitStatus) },
	})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /account", respond(func() any { return endpointStatus{Overfull: worker.Overfull()} }))
	mux.HandleFunc("POST /faults", handleJSON(worker.SetFaults))
	mux.HandleFunc("POST /drain", handleJSON(func(struct{}) { worker.Drain() }))
	mux.HandleFunc("POST /vanish", handleJSON(func(struct{}) { worker.Deregister() }))
	mux.HandleFunc("POST /silence-open", handleJSON(func(struct{}) { worker.StallOpenConnections() }))
	mux.HandleFunc("POST /reset-open", handleJSON(func(struct{}) { worker.CloseOpenConnections() }))
	mux.HandleFunc("POST /queue-wait", handleJSON(worker.SetQueueWait))
	mux.HandleFunc("POST /name", handleJSON(func(v namedVersion) { worker.SetAdapterVersion(v.Adapter, v.Version) }))
	return serve(o.Control, mux)
}

// crashExitStatus is the exit status of an endpoint process that is crashed by a request.
const crashExitStatus = 2

// namedVersion is the version that an endpoint loads of an adapter from now on.
type namedVersion struct {
	Adapter string `json:"adapter"`
	Version int    `json:"version"`
}

// journal writes each event of a run as a line of JSON.
type journal struct {
	mutex   sync.Mutex
	encoder *json.Encoder
}

func (j *journal) write(event platformstandin.RunEvent) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	logFailure("journal", j.encoder.Encode(event))
}

// logFailure logs an error that the stand-in cannot handle. The log is kept in the folder of the run.
func logFailure(what string, err error) {
	if err != nil {
		logrus.WithError(err).WithField("call", what).Error("a stand-in's call failed")
	}
}

func serve(address string, handler http.Handler) error {
	control := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout}
	if err := control.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("outside: control: %w", err)
	}
	return nil
}

// respond returns a handler that answers with the result of read as JSON.
func respond(read func() any) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		logFailure("answer", json.NewEncoder(writer).Encode(read()))
	}
}

// handleJSON returns a handler that decodes the JSON body of the request and passes it to apply.
func handleJSON[T any](apply func(T)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var body T
		if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		apply(body)
	}
}
