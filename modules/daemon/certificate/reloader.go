// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// Files names the files of a certificate, its key, and the certificate authority of the peers.
type Files struct {
	Cert string
	Key  string
	// CA, if set, is the file of the certificate authority that must have signed the certificates of peers.
	CA string
}

// ErrInvalidCertificate reports an unusable certificate file or peer certificate.
type ErrInvalidCertificate struct {
	// File is the path of the file, or "of the peer" for a certificate that a peer presented.
	File   string
	Reason string
}

// Error returns the file and the reason.
func (e ErrInvalidCertificate) Error() string {
	return fmt.Sprintf("certificate file %s: %s", e.File, e.Reason)
}

// Reloader loads the files again after they have changed. If a new file is invalid, the previous certificate stays in use.
type Reloader struct {
	files Files
	now   func() time.Time
	mutex sync.Mutex
	// lastCheck is when the modification times were last checked, modTime the latest modification time of the files last loaded.
	lastCheck time.Time
	modTime   time.Time
	cert      *tls.Certificate
	pool      *x509.CertPool
}

// checkInterval is the minimum time between two checks of the files. A check costs three file system calls; a longer interval delays the
// use of a new certificate.
const checkInterval = time.Second

// New returns a Reloader after loading the files for the first time.
func New(f Files, now func() time.Time) (*Reloader, error) {
	r := &Reloader{files: f, now: now}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Reloader) load() error {
	cert, err := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
	if err != nil {
		return ErrInvalidCertificate{File: r.files.Cert, Reason: err.Error()}
	}
	var pool *x509.CertPool
	if r.files.CA != "" {
		raw, err := os.ReadFile(r.files.CA)
		if err != nil {
			return ErrInvalidCertificate{File: r.files.CA, Reason: err.Error()}
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(raw) {
			return ErrInvalidCertificate{File: r.files.CA, Reason: "holds no certificate"}
		}
	}
	r.cert, r.pool = &cert, pool
	return nil
}

// current returns the certificate and the certificate authorities in use. It first reloads changed files if checkInterval has passed
// since the last check.
func (r *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	if now.Sub(r.lastCheck) < checkInterval {
		return r.cert, r.pool
	}
	r.lastCheck = now
	if modTime := r.latestModTime(); modTime.After(r.modTime) {
		if r.load() == nil {
			r.modTime = modTime
		}
	}
	return r.cert, r.pool
}

func (r *Reloader) latestModTime() time.Time {
	var latest time.Time
	for _, name := range []string{r.files.Cert, r.files.Key, r.files.CA} {
		if name == "" {
			continue
		}
		if info, err := os.Stat(name); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// ServerConfig returns a TLS configuration for listeners. If a CA is set, clients must present a certificate signed by it.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := r.current()
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}, NextProtos: []string{"h2", "http/1.1"}}
			if pool != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, pool
			}
			return c, nil
		},
	}
}

// ClientConfig returns a TLS configuration for calls to peers, which must present a certificate signed by the CA. Host names are not verified,
// since peers are identified by their IP addresses alone.
func (r *Reloader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			// The certificate authority is checked in verifyPeer.
			cert, _ := r.current()
			return cert, nil
		},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain instead.
		VerifyConnection:   r.verifyPeer,
	}
}

func (r *Reloader) verifyPeer(s tls.ConnectionState) error {
	_, pool := r.current()
	o := x509.VerifyOptions{Roots: pool, CurrentTime: r.now(), Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	for _, c := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	if _, err := s.PeerCertificates[0].Verify(o); err != nil {
		return ErrInvalidCertificate{File: "of the peer", Reason: err.Error()}
	}
	return nil
}
