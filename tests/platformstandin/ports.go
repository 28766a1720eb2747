// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

const (
	// firstPort and lastPort bound the ports that FreePorts returns. The system gives ports from 32768 on to connections and to listeners
	// that ask for any port, so that it takes none of these between their choice and their use.
	firstPort, lastPort = 10000, 32000
	// maxPortTries limits the search for ports.
	maxPortTries = 200
	// reservationIP is the IP on which a process listens at each port that it was given, until it ends.
	reservationIP = "127.255.255.254"
)

// reservations keeps the listeners of the ports that this process was given.
var reservations struct {
	mutex     sync.Mutex
	listeners []net.Listener
}

// FreePorts returns ports that are free on all the IPs, and that no other call returns, in any process of this host, until this one ends.
func FreePorts(ips []string) (Ports, error) {
	callers, err := reservePorts(ips, 1)
	if err != nil {
		return Ports{}, err
	}
	ready, err := reservePorts(ips, 1)
	if err != nil {
		return Ports{}, err
	}
	// The port after the one for peers is used as well.
	peers, err := reservePorts(ips, 2)
	if err != nil {
		return Ports{}, err
	}
	metrics, err := reservePorts(ips, 1)
	if err != nil {
		return Ports{}, err
	}
	return Ports{Callers: callers, Ready: ready, Peers: peers, Metrics: metrics}, nil
}

// FreeAddress returns an address on the loopback interface at which a server can listen again and again until this process ends.
func FreeAddress() (netip.AddrPort, error) {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	port, err := reservePorts([]string{loopback.String()}, 1)
	return netip.AddrPortFrom(loopback, port), err
}

// reservePorts reserves consecutive ports that are free on all the IPs, and returns the first one.
func reservePorts(ips []string, count uint16) (uint16, error) {
	for range maxPortTries {
		first := uint16(firstPort + rand.IntN(lastPort-firstPort))
		if reserveAll(ips, first, count) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("platformstandin: no free ports found on %v", ips)
}

// reserveAll reserves the ports from first on, and reports whether all of them are free. Those reserved before one that is in use stay so.
func reserveAll(ips []string, first, count uint16) bool {
	for port := first; port < first+count; port++ {
		if !reserve(port) || !isFree(ips, port) {
			return false
		}
	}
	return true
}

// reserve keeps a port from being returned by other calls of FreePorts until this process ends.
func reserve(port uint16) bool {
	listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", reservationIP, port))
	if err != nil {
		return false
	}
	reservations.mutex.Lock()
	defer reservations.mutex.Unlock()
	reservations.listeners = append(reservations.listeners, listener)
	return true
}

// isFree reports whether a port is free on all the IPs.
func isFree(ips []string, port uint16) bool {
	for _, ip := range ips {
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}
