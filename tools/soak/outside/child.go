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

// StoreOptions are the settings of a store's process.
type StoreOptions struct {
	Control string `help:"IP:PORT at which the soak steers this process." required:""`
}

// EndpointOptions are the settings of an endpoint's process.
type EndpointOptions struct {
	Control  string        `help:"IP:PORT at which the soak steers this process." required:""`
	Store    string        `help:"IP:PORT at which the store's process is steered." required:""`
	ID       string        `help:"The endpoint's identifier." required:""`
	Hall     string        `help:"The hall that it stands in." required:""`
	Model    string        `help:"Its base model; empty for a plain service." default:""`
	Slots    int           `help:"Requests at once." default:"16"`
	Capacity int           `help:"Places for adapters." default:"8"`
	LoadTime time.Duration `help:"How long a load takes." default:"60ms"`
	Events   int           `help:"Events of a stream." default:"8"`
	Pause    time.Duration `help:"Pause between two events." default:"4ms"`
	Journal  string        `help:"The file that takes a line for each begin and end of a run." required:""`
}

// headerTimeout bounds a control call's head.
const headerTimeout = 5 * time.Second

// item is one key of the store.
type item struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// reading is what a store's process tells of itself.
type reading struct {
	Address string `json:"address"`
}

// account is what an endpoint's process tells of itself.
type account struct {
	Overfull int `json:"overfull"`
}

// RunStore runs a store until the process is ended.
func RunStore(o StoreOptions) error {
	store := platformstandin.NewStore()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /reading", answer(func() any { return reading{Address: store.Address()} }))
	mux.HandleFunc("POST /put", take(func(i item) { store.Put(i.Key, i.Value) }))
	mux.HandleFunc("POST /remove", take(func(i item) { store.Remove(i.Key) }))
	mux.HandleFunc("POST /faults", take(store.SetFaults))
	mux.HandleFunc("POST /drop-history", take(func(struct{}) { store.DropHistory() }))
	mux.HandleFunc("POST /revoke", take(func(struct{}) { store.RevokeLeases() }))
	mux.HandleFunc("POST /silence-open", take(func(struct{}) { store.StallOpenConnections() }))
	return serve(o.Control, mux)
}

// RunEndpoint runs an endpoint until the process is ended.
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
		ID: o.ID, Service: service, Zone: o.Hall, Slots: o.Slots, Model: o.Model, Capacity: o.Capacity, LoadTime: o.LoadTime,
		Events: o.Events, Pause: o.Pause, Journal: journal.write,
		Crash: func() { os.Exit(crashed) },
	})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /account", answer(func() any { return account{Overfull: worker.Overfull()} }))
	mux.HandleFunc("POST /faults", take(worker.SetFaults))
	mux.HandleFunc("POST /drain", take(func(struct{}) { worker.Drain() }))
	mux.HandleFunc("POST /vanish", take(func(struct{}) { worker.Deregister() }))
	mux.HandleFunc("POST /silence-open", take(func(struct{}) { worker.StallOpenConnections() }))
	mux.HandleFunc("POST /reset-open", take(func(struct{}) { worker.CloseOpenConnections() }))
	mux.HandleFunc("POST /queue-wait", take(worker.SetQueueWait))
	mux.HandleFunc("POST /name", take(func(v namedVersion) { worker.SetAdapterVersion(v.Adapter, v.Version) }))
	return serve(o.Control, mux)
}

// crashed is the status with which an endpoint ends that a request crashes.
const crashed = 2

// namedVersion is a version that later loads of an adapter bring.
type namedVersion struct {
	Adapter string `json:"adapter"`
	Version int    `json:"version"`
}

// journal writes a line for each event of a run.
type journal struct {
	mutex   sync.Mutex
	encoder *json.Encoder
}

func (j *journal) write(event platformstandin.RunEvent) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	logFailure("journal", j.encoder.Encode(event))
}

// logFailure notes an error that the stand-in can do nothing about: the soak reads the log.
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

// answer makes a handler that answers with JSON.
func answer(read func() any) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		logFailure("answer", json.NewEncoder(writer).Encode(read()))
	}
}

// take makes a handler that carries out what a JSON body says.
func take[T any](apply func(T)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var body T
		if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		apply(body)
	}
}
