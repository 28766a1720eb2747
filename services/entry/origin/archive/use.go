// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package archive

import (
	"context"
	"errors"
	"net/netip"

	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/origin"
)

// usedPrefix is the prefix of the keys of what processes use.
const usedPrefix = prefix + "used/"

// usedValue is the value of a key with the softwares that one process uses. Fields may be added.
type usedValue struct {
	// Address is where the process answers questions; empty if it answers none.
	Address string `msgpack:"a,omitempty"`
	// Process is the number of the process.
	Process   uint64     `msgpack:"p"`
	Softwares []software `msgpack:"w"`
}

// uses returns what the value states.
func (v *usedValue) uses() ([]origin.Use, error) {
	user := origin.User{Process: v.Process}
	if v.Address != "" {
		address, err := netip.ParseAddrPort(v.Address)
		if err != nil {
			return nil, err
		}
		user.Address = address
	}
	uses := make([]origin.Use, 0, len(v.Softwares))
	for _, used := range v.Softwares {
		uses = append(uses, origin.Use{User: user, Origin: origin.Origin(used)})
	}
	return uses, nil
}

// addUse adds an entry on what a process uses.
func (c *Content) addUse(item store.Item) error {
	var value usedValue
	if err := decode(item.Value, &value); err != nil {
		return err
	}
	uses, err := value.uses()
	if err != nil {
		return err
	}
	c.Uses = append(c.Uses, uses...)
	return nil
}

// WriteUsed states at which softwares this process begins streams, in place of what it stated before, and where it answers questions. That stays
// for origin.MaxLifetime unless it is renewed. After an error another key is used. The error is one of package store.
func (a *Archive) WriteUsed(ctx context.Context, address netip.AddrPort, used []origin.Origin) error {
	stated := usedValue{Process: a.Writer}
	if address.IsValid() {
		stated.Address = address.String()
	}
	for _, at := range used {
		stated.Softwares = append(stated.Softwares, software(at))
	}
	value, err := encode(stated)
	if err != nil {
		return err
	}
	if a.usedLease == 0 {
		if a.usedLease, err = a.grant(ctx, origin.MaxLifetime); err != nil {
			return err
		}
		a.usedKeys++
	}
	err = a.write(ctx, store.Write{Key: a.key(usedPrefix, a.usedKeys), Value: value, Lease: a.usedLease})
	if err != nil {
		a.usedLease = 0
	}
	return err
}

// RenewUsed lets what this process uses stay for origin.MaxLifetime from now on. After store.ErrLeaseExpired it has to be written again.
func (a *Archive) RenewUsed(ctx context.Context) error {
	err := a.renew(ctx, a.usedLease)
	if errors.Is(err, store.ErrLeaseExpired) {
		a.usedLease = 0
	}
	return err
}
