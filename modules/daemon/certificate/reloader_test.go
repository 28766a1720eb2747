// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package certificate_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/certificate"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// write puts a self-signed certificate with a serial number, and its key, into the files, changed at the given time.
func write(t *testing.T, f certificate.Files, serial int64, changed time.Time) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"}, NotBefore: start.Add(-time.Hour), NotAfter: start.Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	put(t, f.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), changed)
	put(t, f.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}), changed)
}

func put(t *testing.T, name string, data []byte, changed time.Time) {
	t.Helper()
	require.NoError(t, os.WriteFile(name, data, 0o600))
	require.NoError(t, os.Chtimes(name, changed, changed))
}

// served gives the serial number of the certificate that a connection would get now.
func served(t *testing.T, r *certificate.Reloader) int64 {
	t.Helper()
	config, err := r.Server().GetConfigForClient(&tls.ClientHelloInfo{})
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(config.Certificates[0].Certificate[0])
	require.NoError(t, err)
	return cert.SerialNumber.Int64()
}

func TestAReplacedCertificateIsServedAndABrokenOneIsNot(t *testing.T) {
	dir := t.TempDir()
	f := certificate.Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	write(t, f, 1, start)
	now := start
	r, err := certificate.New(f, func() time.Time { return now })
	require.NoError(t, err)
	require.Equal(t, int64(1), served(t, r))

	write(t, f, 2, start.Add(time.Minute))
	require.Equal(t, int64(1), served(t, r), "the files are looked at once a second")
	now = now.Add(time.Second)
	require.Equal(t, int64(2), served(t, r))

	put(t, f.Cert, []byte("half a certi"), start.Add(2*time.Minute))
	now = now.Add(time.Second)
	require.Equal(t, int64(2), served(t, r), "the last good one stays in use")
	write(t, f, 3, start.Add(2*time.Minute))
	now = now.Add(time.Second)
	require.Equal(t, int64(3), served(t, r), "the same time of change as the broken one")
}

func TestFilesThatCannotBeUsedAreNamed(t *testing.T) {
	dir := t.TempDir()
	f := certificate.Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	_, err := certificate.New(f, time.Now)
	require.ErrorContains(t, err, f.Cert)
	write(t, f, 1, start)
	f.CA = filepath.Join(dir, "ca.pem")
	put(t, f.CA, []byte("no certificate"), start)
	_, err = certificate.New(f, time.Now)
	require.Equal(t, certificate.ErrBadCertificate{File: f.CA, Reason: "holds no certificate"}, err)
}
