// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package outside

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
)

// callTimeout is the time-out of a control call. A frozen stand-in does not answer.
const callTimeout = 5 * time.Second

// controlClient sends control calls to the process of a stand-in.
type controlClient struct {
	control string
	client  *http.Client
}

func newControlClient(control string) controlClient {
	return controlClient{control: control, client: &http.Client{Timeout: callTimeout}}
}

func (h controlClient) post(call string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	response, err := h.client.Post("http://"+h.control+"/"+call, "application/json", bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	// The body is not used, so that an error of closing it does not matter.
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("outside: %s: %s", call, response.Status)
	}
	return nil
}

func (h controlClient) get(call string, into any) error {
	response, err := h.client.Get("http://" + h.control + "/" + call)
	if err != nil {
		return err
	}
	defer func() {
		// The body has been read, so that an error of closing it does not matter.
		_ = response.Body.Close()
	}()
	return json.NewDecoder(response.Body).Decode(into)
}

// StoreHandle controls the store process.
type StoreHandle struct{ controlClient }

// NewStoreHandle returns a handle of the store process with the given control address, IP:PORT.
func NewStoreHandle(control string) *StoreHandle {
	return &StoreHandle{newControlClient(control)}
}

// Address returns the IP:PORT at which the store serves instances.
func (s *StoreHandle) Address() (string, error) {
	var r storeStatus
	err := s.get("reading", &r)
	return r.Address, err
}

// Control returns the control address of the store process, IP:PORT.
func (s *StoreHandle) Control() string {
	return s.control
}

// Put writes a key as the platform does. The store has acknowledged the write when Put returns without an error.
func (s *StoreHandle) Put(key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return s.post("put", keyValue{Key: key, Value: encoded})
}

// Remove removes a key, as the platform does after an endpoint has sent no heartbeats.
func (s *StoreHandle) Remove(key string) error {
	return s.post("remove", keyValue{Key: key})
}

// SetFaults replaces the injected faults of the store.
func (s *StoreHandle) SetFaults(faults platformstandin.StoreFaults) error {
	return s.post("faults", faults)
}

// DropHistory makes the store drop its history of changes.
func (s *StoreHandle) DropHistory() error {
	return s.post("drop-history", struct{}{})
}

// RevokeLeases makes the store remove all keys that have leases.
func (s *StoreHandle) RevokeLeases() error {
	return s.post("revoke", struct{}{})
}

// SilenceOpen silences all open connections to the store permanently, without closing them.
func (s *StoreHandle) SilenceOpen() error {
	return s.post("silence-open", struct{}{})
}

// EndpointHandle controls an endpoint process.
type EndpointHandle struct{ controlClient }

// NewEndpointHandle returns a handle of the endpoint process with the given control address, IP:PORT.
func NewEndpointHandle(control string) *EndpointHandle {
	return &EndpointHandle{newControlClient(control)}
}

// Overfull returns the number of orders that exceeded the endpoint's places.
func (e *EndpointHandle) Overfull() (int, error) {
	var a endpointStatus
	err := e.get("account", &a)
	return a.Overfull, err
}

// SetFaults replaces the injected faults of the endpoint.
func (e *EndpointHandle) SetFaults(faults platformstandin.WorkerFaults) error {
	return e.post("faults", faults)
}

// Drain makes the endpoint announce its departure. The store has acknowledged the announcement when Drain returns without an error.
func (e *EndpointHandle) Drain() error {
	return e.post("drain", struct{}{})
}

// Vanish removes the endpoint's entry from the store without an announcement.
func (e *EndpointHandle) Vanish() error {
	return e.post("vanish", struct{}{})
}

// SilenceOpen silences all open connections to the endpoint permanently, without closing them.
func (e *EndpointHandle) SilenceOpen() error {
	return e.post("silence-open", struct{}{})
}

// ResetOpen closes all open connections to the endpoint.
func (e *EndpointHandle) ResetOpen() error {
	return e.post("reset-open", struct{}{})
}

// SetQueueWait makes each new request wait before it begins.
func (e *EndpointHandle) SetQueueWait(wait time.Duration) error {
	return e.post("queue-wait", wait)
}

// SetVersion sets the version that the endpoint loads of an adapter from now on.
func (e *EndpointHandle) SetVersion(adapter string, version int) error {
	return e.post("name", namedVersion{Adapter: adapter, Version: version})
}
