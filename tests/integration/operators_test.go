// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/routers/daemon/operator"
	"github.com/shelfledge/shelfledge/tests/standin"
)

func sha256Hex(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// postOperatorRequest sends a raw body to the operators' listener and returns the status and the answer.
func (f *testFleet) postOperatorRequest(client *http.Client, scheme, key, body string) (int, operator.RunResponse) {
	q, err := http.NewRequest(http.MethodPost, scheme+"://"+f.addresses["h1-i1"].Operators.String()+"/operator/v1/run", strings.NewReader(body))
	require.NoError(f.t, err)
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := client.Do(q)
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	var out operator.RunResponse
	_ = json.NewDecoder(resp.Body).Decode(&out)
	return resp.StatusCode, out
}

func TestOperatorRolesAndFailureLimit(t *testing.T) {
	keys := map[string]any{"failures_per_minute": 5, "keys": []map[string]any{
		{"name": "demo", "role": "admin", "sha256": sha256Hex(standin.OperatorKey)}, {"name": "reader", "role": "read", "sha256": sha256Hex("r")},
		{"name": "changer", "role": "change", "sha256": sha256Hex("c")},
	}}
	f := newFleet(t, oneHallOptions(), map[string]any{"operators": keys}, "h1-i1")
	statement := func(text string) string {
		raw, err := json.Marshal(operator.RunRequest{Text: text, ID: "same", WaitMS: 1000})
		require.NoError(t, err)
		return string(raw)
	}
	client := http.DefaultClient
	status, _ := f.postOperatorRequest(client, "http", "r", statement("show halls"))
	require.Equal(t, http.StatusOK, status)
	status, out := f.postOperatorRequest(client, "http", "r", statement("create adapter x base base-a"))
	require.Equal(t, http.StatusForbidden, status)
	require.Equal(t, operator.KindDenied, out.Error.Kind)
	status, _ = f.postOperatorRequest(client, "http", "c", statement("set budget 1 loads per second 1 at once"))
	require.Equal(t, http.StatusForbidden, status)
	status, out = f.postOperatorRequest(client, "http", "c", statement("create adapter x base base-a"))
	require.Equal(t, http.StatusOK, status)
	require.False(t, out.Answers[0].Change.Repeated)
	status, out = f.postOperatorRequest(client, "http", "c", statement("create adapter x base base-a"))
	require.Equal(t, http.StatusOK, status, "a change with a repeated ID is not applied again")
	require.True(t, out.Answers[0].Change.Repeated)
	require.EqualValues(t, 1, out.Answers[0].Change.Revision)
	status, out = f.postOperatorRequest(client, "http", "c", `{"text":"retire adapter x if revision 7"}`)
	require.Equal(t, http.StatusConflict, status)
	require.Equal(t, operator.KindConflict, out.Error.Kind)
	status, _ = f.postOperatorRequest(client, "http", "c", `{"text":"`+strings.Repeat("x", 10<<20)+`"}`)
	require.Equal(t, http.StatusBadRequest, status)
	status, out = f.postOperatorRequest(client, "http", "c", statement("show slots where \x00 = "+strings.Repeat("(", 5000)))
	require.Equal(t, http.StatusBadRequest, status)
	require.Equal(t, operator.KindSyntax, out.Error.Kind)
	for range 5 {
		status, _ = f.postOperatorRequest(client, "http", "wrong", statement("show halls"))
		require.Equal(t, http.StatusForbidden, status)
	}
	status, out = f.postOperatorRequest(client, "http", "r", statement("show halls"))
	require.Equal(t, http.StatusTooManyRequests, status, "the address is rejected for the rest of the minute")
	require.Equal(t, operator.KindTooMany, out.Error.Kind)
}

// certificateAuthority issues certificates for a test.
type certificateAuthority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newCertificateAuthority(t *testing.T) *certificateAuthority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(raw)
	require.NoError(t, err)
	return &certificateAuthority{t: t, cert: cert, key: key}
}

// writeCertificate issues a certificate that expires at the given time, and writes it and its key to files, whose paths it returns.
func (a *certificateAuthority) writeCertificate(folder, name string, expires time.Time) (cert, key string) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: expires,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &private.PublicKey, a.key)
	require.NoError(a.t, err)
	der, err := x509.MarshalECPrivateKey(private)
	require.NoError(a.t, err)
	cert, key = filepath.Join(folder, name+".pem"), filepath.Join(folder, name+".key")
	require.NoError(a.t, os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}), 0o600))
	require.NoError(a.t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}), 0o600))
	return cert, key
}

func (a *certificateAuthority) newClient(cert, key string) *http.Client {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	config := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	if cert != "" {
		pair, err := tls.LoadX509KeyPair(cert, key)
		require.NoError(a.t, err)
		config.Certificates = []tls.Certificate{pair}
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
}

func TestTLSOnOperatorsAndPeers(t *testing.T) {
	folder := t.TempDir()
	a := newCertificateAuthority(t)
	ca := filepath.Join(folder, "ca.pem")
	require.NoError(t, os.WriteFile(ca, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw}), 0o600))
	cert, key := a.writeCertificate(folder, "daemon", time.Now().Add(time.Hour))
	secure := map[string]any{"cert": cert, "key": key, "client_ca": ca}
	anyPort := "127.0.0.1:0"
	f := newFleet(t, oneHallOptions(), map[string]any{"listen": map[string]any{
		"callers": map[string]any{"address": anyPort}, "operators": map[string]any{"address": anyPort, "tls": secure}, "peers": map[string]any{"address": anyPort, "tls": secure},
	}}, "h1-i1", "h1-i2")
	body := `{"text":"show instances"}`
	validCert, validKey := a.writeCertificate(folder, "operator", time.Now().Add(time.Hour))
	f.waitFor(func() bool {
		status, out := f.postOperatorRequest(a.newClient(validCert, validKey), "https", standin.OperatorKey, body)
		return status == http.StatusOK && len(out.Answers[0].Table.Rows) == 2
	}, "the daemons do not discover each other over TLS")
	expiredCert, expiredKey := a.writeCertificate(folder, "old", time.Now().Add(-time.Hour))
	for name, client := range map[string]*http.Client{"expired": a.newClient(expiredCert, expiredKey), "none": a.newClient("", "")} {
		_, err := client.Post("https://"+f.addresses["h1-i1"].Operators.String()+"/operator/v1/run", "application/json", bytes.NewReader([]byte(body)))
		require.Error(t, err, "a client with certificate %q is accepted", name)
	}
	renewed, _ := a.writeCertificate(folder, "daemon", time.Now().Add(2*time.Hour))
	require.Equal(t, cert, renewed)
	f.waitFor(func() bool {
		conn, err := tls.Dial("tcp", f.addresses["h1-i1"].Operators.String(), a.newClient(validCert, validKey).Transport.(*http.Transport).TLSClientConfig)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		return time.Until(conn.ConnectionState().PeerCertificates[0].NotAfter) > 90*time.Minute
	}, "the renewed certificate is not served")
}
