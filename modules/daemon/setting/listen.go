// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "net/netip"

// TLS holds the paths of a listener's certificate and key files; empty paths mean plain TCP.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// ClientCA, if set, is the file of the certificate authority that must have signed the certificates of clients.
	ClientCA string `json:"client_ca"`
}

// Enabled reports whether the listener uses TLS.
func (t TLS) Enabled() bool {
	return t.Cert != ""
}

func (t TLS) check(d *document, name string) {
	if (t.Cert == "") != (t.Key == "") {
		d.addProblem(name, "cert and key go together")
	}
	if t.ClientCA != "" && t.Cert == "" {
		d.addProblem(name+".client_ca", "needs cert and key")
	}
}

// Listener holds the settings of a listener.
type Listener struct {
	Address netip.AddrPort `json:"address"`
	TLS     TLS            `json:"tls"`
}

// Listen holds the three listeners of a daemon.
type Listen struct {
	Callers   Listener `json:"callers"`
	Operators Listener `json:"operators"`
	Peers     Listener `json:"peers"`
}

func (l Listen) check(d *document) {
	seen := make(map[netip.AddrPort]string)
	listeners := map[string]Listener{"listen.callers": l.Callers, "listen.operators": l.Operators, "listen.peers": l.Peers}
	for _, name := range []string{"listen.callers", "listen.operators", "listen.peers"} {
		x := listeners[name]
		if !x.Address.IsValid() {
			d.addProblem(name+".address", "must be set to IP:PORT")
			continue
		}
		if other, ok := seen[x.Address]; ok && x.Address.Port() != 0 {
			d.addProblem(name+".address", "is the same as %s", other)
		}
		seen[x.Address] = name
		x.TLS.check(d, name+".tls")
	}
}
