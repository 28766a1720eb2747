// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package origin_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

// instances returns instances in halls, in turn.
func instances(count, halls int) []origin.Instance {
	var list []origin.Instance
	for i := range count {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 256), byte(i%256 + 1)}), 7100)
		list = append(list, origin.Instance{Hall: fmt.Sprintf("hall-%d", i%halls), Address: address})
	}
	return list
}

// hallsOf returns the halls of some instances.
func hallsOf(list []origin.Instance, addresses []netip.AddrPort) map[string]int {
	halls := make(map[string]int)
	for _, instance := range list {
		if slices.Contains(addresses, instance.Address) {
			halls[instance.Hall]++
		}
	}
	return halls
}

func TestHoldersAreInDifferentHallsAndOneInOwnHall(t *testing.T) {
	list := instances(12, 4)
	for key := range origin.Key(500) {
		self := list[key%12]
		told := origin.NewHolders(self, list).Told(key)
		assert.NotContains(t, told, self.Address)
		assert.LessOrEqual(t, len(told), 3)
		halls := hallsOf(list, told)
		assert.GreaterOrEqual(t, len(halls), 2)
		assert.GreaterOrEqual(t, halls[self.Hall], 1)
	}
}

func TestHoldersOfOneHall(t *testing.T) {
	list := instances(5, 1)
	holders := origin.NewHolders(list[0], list)
	for key := range origin.Key(100) {
		assert.Len(t, holders.Told(key), 2)
		assert.GreaterOrEqual(t, len(holders.Asked(key)), 2)
	}
}

func TestHoldersAreNoneForAnInstanceAlone(t *testing.T) {
	self := instances(1, 1)[0]
	assert.Empty(t, origin.NewHolders(self, nil).Told(1))
	assert.Empty(t, origin.NewHolders(self, []origin.Instance{self}).Told(1))
	assert.Empty(t, origin.NewHolders(self, []origin.Instance{self}).Asked(1))
}

// TestHoldersAreTheSameInAllVersions pins a choice, since instances of several versions of the program must agree on it.
func TestHoldersAreTheSameInAllVersions(t *testing.T) {
	list := instances(6, 3)
	told := origin.NewHolders(list[0], list).Told(origin.KeyOf("route", "attempt"))
	assert.Equal(t, []netip.AddrPort{list[2].Address, list[3].Address}, told)
}

func TestOrderOfListDoesNotMatter(t *testing.T) {
	list := instances(32, 8)
	reversed := slices.Clone(list)
	slices.Reverse(reversed)
	for key := range origin.Key(200) {
		assert.Equal(t, origin.NewHolders(list[3], list).Told(key), origin.NewHolders(list[3], reversed).Told(key))
	}
}

func TestRecordsAreSpreadOverInstances(t *testing.T) {
	list := instances(32, 8)
	counts := make(map[netip.AddrPort]int)
	const streams = 32000
	for key := range origin.Key(streams) {
		self := list[key%32]
		for _, holder := range origin.NewHolders(self, list).Told(origin.KeyOf("route", fmt.Sprint(key))) {
			counts[holder]++
		}
	}
	for _, instance := range list {
		assert.InDelta(t, 3*streams/32, counts[instance.Address], streams/32, instance.Address.String())
	}
}

// drawFleet draws a list and an instance that joins it later.
func drawFleet(random *rand.Rand) (list []origin.Instance, joining origin.Instance) {
	halls := 1 + random.IntN(8)
	all := instances(4+random.IntN(29), halls)
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	joining = all[len(all)-1]
	if random.IntN(4) == 0 {
		joining.Hall = "new"
	}
	return all[:len(all)-1], joining
}

// changes returns the list as it is, with another instance, and with each one missing.
func changes(list []origin.Instance, joining origin.Instance) [][]origin.Instance {
	changed := [][]origin.Instance{list, append(slices.Clone(list), joining)}
	for i := range list {
		changed = append(changed, slices.Delete(slices.Clone(list), i, i+1))
	}
	return changed
}

// TestLostHolderAndChangedListLeaveOneThatIsAsked draws fleets and loses one instance that knows a stream, be it a holder or the one that
// began it, while the list of who asks has changed by one instance. One that knows the stream must still be asked.
func TestLostHolderAndChangedListLeaveOneThatIsAsked(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		list, joining := drawFleet(random)
		key := origin.Key(random.Uint64())
		teller := list[random.IntN(len(list))]
		aware := append(origin.NewHolders(teller, list).Told(key), teller.Address)
		asker := origin.Instance{Hall: list[random.IntN(len(list))].Hall, Address: netip.MustParseAddrPort("10.9.9.9:7100")}
		for _, changed := range changes(list, joining) {
			asked := origin.NewHolders(asker, changed).Asked(key)
			for _, lost := range aware {
				if !isListed(changed, aware, lost) {
					continue
				}
				assert.True(t, slices.ContainsFunc(asked, func(address netip.AddrPort) bool {
					return address != lost && slices.Contains(aware, address)
				}), "key %d: %v know it, %v is lost, %v are asked", key, aware, lost, asked)
			}
		}
	}
}

// isListed reports whether all that know a stream, except one that is lost, are in a list.
func isListed(list []origin.Instance, aware []netip.AddrPort, lost netip.AddrPort) bool {
	for _, address := range aware {
		if address != lost && !slices.ContainsFunc(list, func(instance origin.Instance) bool { return instance.Address == address }) {
			return false
		}
	}
	return true
}

// TestLossOfTellerAndOneHolderLeavesOneThatIsAsked loses two at once while the list stays as it is.
func TestLossOfTellerAndOneHolderLeavesOneThatIsAsked(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 2000 {
		list, _ := drawFleet(random)
		key := origin.Key(random.Uint64())
		teller := list[random.IntN(len(list))]
		told := origin.NewHolders(teller, list).Told(key)
		require.GreaterOrEqual(t, len(told), 2)
		asker := origin.Instance{Hall: list[random.IntN(len(list))].Hall, Address: netip.MustParseAddrPort("10.9.9.9:7100")}
		asked := origin.NewHolders(asker, list).Asked(key)
		for _, lost := range told {
			assert.True(t, slices.ContainsFunc(asked, func(address netip.AddrPort) bool {
				return address != lost && slices.Contains(told, address)
			}))
		}
	}
}

func TestFewInstancesAreAsked(t *testing.T) {
	list := instances(32, 8)
	for key := range origin.Key(500) {
		assert.LessOrEqual(t, len(origin.NewHolders(list[key%32], list).Asked(key)), 8)
	}
}

func BenchmarkTold(b *testing.B) {
	list := instances(32, 8)
	holders := origin.NewHolders(list[0], list)
	b.ReportAllocs()
	for i := range b.N {
		holders.Told(origin.Key(i))
	}
}
