// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tunnel_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/tunnel"
)

// answerSizes are sizes of answers around those of the buffers on the way; the last ones fit into none of them.
var answerSizes = []int{0, 1, 4095, 4096, 4097, 16 << 10, 64<<10 - 1, 64 << 10, 1 << 20, 16 << 20}

// answerOf returns an answer whose bytes depend on their position.
func answerOf(size int) []byte {
	answer := make([]byte, size)
	for i := range answer {
		answer[i] = byte(i % 251)
	}
	return answer
}

// readAnswer reads up to the end of an answer of which the endpoint sends at most the given bytes.
func readAnswer(t *testing.T, conn net.Conn, sent []byte) (int, error) {
	t.Helper()
	got, err := io.ReadAll(conn)
	assert.True(t, bytes.HasPrefix(sent, got), "%d bytes are not those that were sent", len(got))
	return len(got), err
}

func TestProperEndFollowsAllBytes(t *testing.T) {
	f := newFixture(t, nil)
	for _, size := range answerSizes {
		answer := answerOf(size)
		caller, endpoint := f.openPair()
		go func() {
			// An error shows in what the caller reads.
			_, _ = endpoint.Write(answer)
			_ = endpoint.Close()
		}()
		got, err := readAnswer(t, caller, answer)
		require.NoError(t, err, "%d bytes", size)
		assert.Equal(t, size, got)
	}
}

// TestBrokenOffAnswerHasNoProperEnd covers answers without a length that are broken off at each size, read at once or only after the end.
func TestBrokenOffAnswerHasNoProperEnd(t *testing.T) {
	for name, end := range map[string]func(f *fixture, endpoint net.Conn){
		"endpoint resets": func(_ *fixture, endpoint net.Conn) {
			_ = endpoint.(*net.TCPConn).SetLinger(0)
			_ = endpoint.Close()
		},
		"acceptor closes": func(f *fixture, _ net.Conn) { f.acceptor.Close() },
	} {
		for _, readsBefore := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, caller reads before: %t", name, readsBefore), func(t *testing.T) {
				for _, size := range answerSizes {
					answer := answerOf(size)
					f := newFixture(t, nil)
					caller, endpoint := f.openPair()
					written := make(chan struct{})
					go func() {
						defer close(written)
						_, _ = endpoint.Write(answer)
						end(f, endpoint)
					}()
					if !readsBefore && size < 1<<20 {
						<-written
					}
					_, err := readAnswer(t, caller, answer)
					require.Error(t, err, "%d bytes", size)
				}
			})
		}
	}
}

// envAcceptor makes the test program run as an instance that accepts tunnels and prints its address.
const envAcceptor = "SHELFLEDGE_TEST_ACCEPTOR"

func TestMain(m *testing.M) {
	if os.Getenv(envAcceptor) != "" {
		serveTunnels()
		return
	}
	os.Exit(m.Run())
}

// serveTunnels accepts tunnels until the process is killed.
func serveTunnels() {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(listener.Addr())
	tunnel.NewAcceptor(tunnel.Options{
		Allowed: func(tunnel.Target) bool { return true },
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp4", address.String())
		},
		CutOff: func() bool { return false }, Log: logrus.NewEntry(logrus.New()),
	}).Serve(listener)
}

// startAcceptorProcess starts a process that accepts tunnels and returns it with its address.
func startAcceptorProcess(t *testing.T) (*os.Process, string) {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), envAcceptor+"=1")
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	address, err := bufio.NewReader(output).ReadString('\n')
	require.NoError(t, err)
	return command.Process, strings.TrimSpace(address)
}

// TestDeathOfAcceptorIsNotEndOfAnswer: the system closes the connections of a process that is killed.
func TestDeathOfAcceptorIsNotEndOfAnswer(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		t.Run(signal.String(), func(t *testing.T) {
			for _, size := range answerSizes {
				f := newFixture(t, nil)
				process, address := startAcceptorProcess(t)
				f.address = address
				answer := answerOf(size)
				caller, endpoint := f.openPair()
				written := make(chan error, 1)
				go func() {
					_, err := endpoint.Write(answer)
					written <- err
				}()
				part, err := io.ReadFull(caller, make([]byte, min(size, 1<<20)))
				require.NoError(t, err)
				require.NoError(t, process.Signal(signal))
				_, err = readAnswer(t, caller, answer[part:])
				require.Error(t, err, "%d bytes", size)
				// The system reports the reset to one call of the endpoint only.
				_, err = io.Copy(io.Discard, endpoint)
				require.Error(t, errors.Join(err, <-written), "the endpoint of %d bytes", size)
			}
		})
	}
}

// TestDeathOfAcceptorIsNotEndOfRest covers an answer that its endpoint has ended and of which the acceptor still holds a part.
func TestDeathOfAcceptorIsNotEndOfRest(t *testing.T) {
	const size, rounds = 16 << 20, 5
	answer := answerOf(size)
	for range rounds {
		f := newFixture(t, nil)
		process, address := startAcceptorProcess(t)
		f.address = address
		caller, endpoint := f.openPair()
		go func() {
			_, _ = endpoint.Write(answer)
			_ = endpoint.Close()
		}()
		part, err := io.ReadFull(caller, make([]byte, size/2))
		require.NoError(t, err)
		require.NoError(t, process.Kill())
		rest, err := readAnswer(t, caller, answer[part:])
		require.Error(t, err)
		assert.Less(t, part+rest, size)
	}
}
