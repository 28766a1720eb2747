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

var testTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// writeCertificate writes a self-signed certificate with the serial number, and its key, to files with the modification time.
func writeCertificate(t *testing.T, f certificate.Files, serial int64, modTime time.Time) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"}, NotBefore: testTime.Add(-time.Hour), NotAfter: testTime.Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	writeFile(t, f.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), modTime)
	writeFile(t, f.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}), modTime)
}

func writeFile(t *testing.T, name string, data []byte, modTime time.Time) {
	t.Helper()
	require.NoError(t, os.WriteFile(name, data, 0o600))
	require.NoError(t, os.Chtimes(name, modTime, modTime))
}

// servedSerial returns the serial number of the certificate that a new connection would get.
func servedSerial(t *testing.T, r *certificate.Reloader) int64 {
	t.Helper()
	config, err := r.ServerConfig().GetConfigForClient(&tls.ClientHelloInfo{})
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(config.Certificates[0].Certificate[0])
	require.NoError(t, err)
	return cert.SerialNumber.Int64()
}

func TestReplacedCertificateIsServedUnlessInvalid(t *testing.T) {
	dir := t.TempDir()
	f := certificate.Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	writeCertificate(t, f, 1, testTime)
	now := testTime
	r, err := certificate.New(f, func() time.Time { return now })
	require.NoError(t, err)
	require.Equal(t, int64(1), servedSerial(t, r))

	writeCertificate(t, f, 2, testTime.Add(time.Minute))
	require.Equal(t, int64(1), servedSerial(t, r), "the files are checked once a second")
	now = now.Add(time.Second)
	require.Equal(t, int64(2), servedSerial(t, r))

	writeFile(t, f.Cert, []byte("half a certi"), testTime.Add(2*time.Minute))
	now = now.Add(time.Second)
	require.Equal(t, int64(2), servedSerial(t, r), "the last valid certificate stays in use")
	writeCertificate(t, f, 3, testTime.Add(2*time.Minute))
	now = now.Add(time.Second)
	require.Equal(t, int64(3), servedSerial(t, r), "valid files with the modification time of the invalid ones are loaded")
}

func TestInvalidFileIsNamedInError(t *testing.T) {
	dir := t.TempDir()
	f := certificate.Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	_, err := certificate.New(f, time.Now)
	require.ErrorContains(t, err, f.Cert)
	writeCertificate(t, f, 1, testTime)
	f.CA = filepath.Join(dir, "ca.pem")
	writeFile(t, f.CA, []byte("no certificate"), testTime)
	_, err = certificate.New(f, time.Now)
	require.Equal(t, certificate.ErrInvalidCertificate{File: f.CA, Reason: "holds no certificate"}, err)
}
