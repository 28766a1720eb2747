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

const patience = 10 * time.Second

// echo answers each line by itself, and tells what it got.
func echo(t *testing.T) (address string, got chan string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	got = make(chan string, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(conn)
				for lines.Scan() {
					got <- lines.Text()
					_, _ = io.WriteString(conn, lines.Text()+"\n")
				}
			}()
		}
	}()
	return listener.Addr().String(), got
}

// caller sends lines over a link.
type caller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func open(t *testing.T) (*link.Link, *caller, chan string) {
	t.Helper()
	address, got := echo(t)
	l, err := link.New(address)
	require.NoError(t, err)
	t.Cleanup(l.Close)
	conn, err := net.DialTimeout("tcp4", l.Address(), patience)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &caller{t: t, conn: conn, reader: bufio.NewReader(conn)}
	c.send("hello")
	assert.Equal(t, "hello\n", c.read(patience))
	assert.Equal(t, "hello", <-got)
	return l, c, got
}

func (c *caller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text+"\n")
	require.NoError(c.t, err)
}

// read gives the next line, or nothing if none comes in time.
func (c *caller) read(limit time.Duration) string {
	require.NoError(c.t, c.conn.SetReadDeadline(time.Now().Add(limit)))
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return ""
	}
	return line
}

const short = 200 * time.Millisecond

func TestWhatACutLinkHoldsUpArrivesWhenItHeals(t *testing.T) {
	l, c, got := open(t)
	l.SetMode(link.Cut)
	c.send("held")
	assert.Empty(t, c.read(short))
	assert.Empty(t, got)
	l.SetMode(link.Pass)
	assert.Equal(t, "held\n", c.read(patience))
}

func TestADeafLinkPassesToItsTargetOnly(t *testing.T) {
	l, c, got := open(t)
	l.SetMode(link.Deaf)
	c.send("done")
	assert.Equal(t, "done", <-got)
	assert.Empty(t, c.read(short))
}

func TestASlowLinkDelays(t *testing.T) {
	l, c, _ := open(t)
	l.SetMode(link.Slow)
	began := time.Now()
	c.send("later")
	assert.Equal(t, "later\n", c.read(patience))
	assert.GreaterOrEqual(t, time.Since(began), 300*time.Millisecond)
}

func TestAResetEndsOpenConnectionsOnly(t *testing.T) {
	l, c, _ := open(t)
	l.Reset()
	_, err := c.conn.Read(make([]byte, 1))
	require.Error(t, err)
	conn, err := net.DialTimeout("tcp4", l.Address(), patience)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	again := &caller{t: t, conn: conn, reader: bufio.NewReader(conn)}
	again.send("again")
	assert.Equal(t, "again\n", again.read(patience))
}
