// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/modules/entry/datagram"
	"github.com/shelfledge/shelfledge/services/entry/origin/archive"
)

// Options configure a Service.
type Options struct {
	// Hall is the hall of this instance.
	Hall string
	// Address is where this instance receives datagrams, and its address in the list of instances. If it is not valid, this instance tells
	// and asks nobody.
	Address netip.AddrPort
	Now     func() time.Time
	Log     *logrus.Entry
	// Archive keeps what has to outlive all instances. Without it nothing does, and no software is taken for the only one.
	Archive *archive.Archive
	// Listen opens the transport at the address; a UDP socket if it is nil.
	Listen func(address netip.AddrPort) (Transport, error)
}

// Transport has the functions that carry datagrams, as datagram.Socket does.
type Transport struct {
	Send    func(to netip.AddrPort, payload []byte) error
	Receive func(buffer []byte) ([]byte, netip.AddrPort, error)
	Close   func() error
}

// listenUDP opens a UDP socket.
func listenUDP(address netip.AddrPort) (Transport, error) {
	socket, err := datagram.Listen(address)
	if err != nil {
		return Transport{}, err
	}
	return Transport{Send: socket.Send, Receive: socket.Receive, Close: socket.Close}, nil
}
