// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package link_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/tools/soak/link"
)

const testTimeout = 10 * time.Second

// startEcho starts a server that echoes each line and sends the line to the channel.
func startEcho(t *testing.T) (address string, received chan string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	received = make(chan string, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(conn)
				for lines.Scan() {
					received <- lines.Text()
					_, _ = io.WriteString(conn, lines.Text()+"\n")
				}
			}()
		}
	}()
	return listener.Addr().String(), received
}

// caller sends lines through a link and reads the answers.
type caller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func openLink(t *testing.T) (*link.Link, *caller, chan string) {
	t.Helper()
	address, received := startEcho(t)
	l, err := link.New(address)
	require.NoError(t, err)
	t.Cleanup(l.Close)
	conn, err := net.DialTimeout("tcp4", l.Address(), testTimeout)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &caller{t: t, conn: conn, reader: bufio.NewReader(conn)}
	c.send("hello")
	assert.Equal(t, "hello\n", c.read(testTimeout))
	assert.Equal(t, "hello", <-received)
	return l, c, received
}

func (c *caller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text+"\n")
	require.NoError(c.t, err)
}

// read returns the next line, or an empty string if none arrives within the limit.
func (c *caller) read(limit time.Duration) string {
	require.NoError(c.t, c.conn.SetReadDeadline(time.Now().Add(limit)))
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return ""
	}
	return line
}

const noAnswerTime = 200 * time.Millisecond

func TestCutLinkDeliversHeldBytesAfterPass(t *testing.T) {
	l, c, received := openLink(t)
	l.SetMode(link.Cut)
	c.send("held")
	assert.Empty(t, c.read(noAnswerTime))
	assert.Empty(t, received)
	l.SetMode(link.Pass)
	assert.Equal(t, "held\n", c.read(testTimeout))
}

func TestOneWayLinkForwardsToTargetOnly(t *testing.T) {
	l, c, received := openLink(t)
	l.SetMode(link.OneWay)
	c.send("done")
	assert.Equal(t, "done", <-received)
	assert.Empty(t, c.read(noAnswerTime))
}

func TestSlowLinkDelaysBytes(t *testing.T) {
	l, c, _ := openLink(t)
	l.SetMode(link.Slow)
	began := time.Now()
	c.send("later")
	assert.Equal(t, "later\n", c.read(testTimeout))
	assert.GreaterOrEqual(t, time.Since(began), 300*time.Millisecond)
}

func TestResetClosesOpenConnectionsOnly(t *testing.T) {
	l, c, _ := openLink(t)
	l.Reset()
	_, err := c.conn.Read(make([]byte, 1))
	require.Error(t, err)
	conn, err := net.DialTimeout("tcp4", l.Address(), testTimeout)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	again := &caller{t: t, conn: conn, reader: bufio.NewReader(conn)}
	again.send("again")
	assert.Equal(t, "again\n", again.read(testTimeout))
}
