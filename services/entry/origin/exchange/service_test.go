// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/origin"
	"github.com/shelfledge/shelfledge/services/entry/origin/exchange"
)

const (
	// window is how long streams of the tests live, settling a time after which all datagrams have arrived.
	window   = time.Minute
	settling = 3 * time.Second
	// askTimeout and resendInterval are those of the package.
	askTimeout     = 150 * time.Millisecond
	resendInterval = 50 * time.Millisecond
)

var (
	one     = origin.Origin{Service: "chat", Software: "1.0"}
	two     = origin.Origin{Service: "chat", Software: "2.0"}
	unknown = origin.Result{Verdict: origin.Unknown}
)

// known returns the verdict about a stream that began at an origin.
func known(began origin.Origin) origin.Result {
	return origin.Result{Verdict: origin.Known, Origin: began}
}

// begin lets an instance begin a stream.
func begin(service *exchange.Service, key origin.Key, began origin.Origin) {
	service.Begin(time.Now(), key, began, time.Now().Add(window))
}

// find returns what an instance finds out, and how long that takes.
func find(t *testing.T, service *exchange.Service, key origin.Key) (origin.Result, time.Duration) {
	t.Helper()
	return findAmong(t, service, key, "chat")
}

// findAmong is find for a route with several services.
func findAmong(t *testing.T, service *exchange.Service, key origin.Key, services ...string) (origin.Result, time.Duration) {
	t.Helper()
	began := time.Now()
	result := service.Find(t.Context(), began, key, services, window)
	return result, time.Since(began)
}

// assertFound checks what an instance finds out.
func assertFound(t *testing.T, expected origin.Result, service *exchange.Service, key origin.Key) {
	t.Helper()
	result, _ := find(t, service, key)
	assert.Equal(t, expected, result, "key %d", key)
}

func TestNothingIsSentWhileOneSoftwareServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0")
		defer f.close()
		time.Sleep(window)
		for key := range origin.Key(100) {
			begin(f.services[0], key, one)
		}
		time.Sleep(settling)
		assert.Equal(t, origin.Result{Verdict: origin.Unrestricted, Origin: one}, f.services[1].Find(t.Context(), time.Now(), 1, []string{"chat"}, window))
		assertFound(t, known(one), f.services[0], 1)
		assert.Empty(t, f.network.takeSent())
	})
}

func TestAllOwnStreamsAreToldOnceSecondSoftwareAppears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0")
		defer f.close()
		for key := range origin.Key(1000) {
			begin(f.services[0], key, one)
		}
		expired := origin.Key(5000)
		f.services[0].Begin(time.Now(), expired, one, time.Now().Add(time.Second))
		time.Sleep(2 * time.Second)
		f.observe("1.0", "2.0")
		time.Sleep(settling)
		counters := f.services[0].Counters()
		assert.Less(t, counters.Told, counters.ToldRecords/8, "several streams are told in each datagram")
		assert.Zero(t, counters.Dropped)
		f.services[0].Close()
		f.services[0] = startInstance(t, f.network, f.instances[0], f.instances)
		for key := range origin.Key(1000) {
			assertFound(t, known(one), f.services[1+key%5], key)
		}
		assertFound(t, unknown, f.services[1], expired)
	})
}

func TestStreamIsKnownToOthersWhenItsInstanceIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 32, 8, "1.0", "2.0")
		defer f.close()
		for i := range f.services {
			begin(f.services[i], origin.Key(i), []origin.Origin{one, two}[i%2])
		}
		synctest.Wait()
		time.Sleep(settling)
		lost := f.instances[7].Address
		f.network.lose(func(sent datagram) bool { return sent.from == lost || sent.to == lost })
		for i, service := range f.services {
			if i != 7 {
				assertFound(t, known(two), service, 7)
			}
		}
	})
}

func TestSameOriginToldTwiceIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0", "2.0")
		defer f.close()
		begin(f.services[0], 1, one)
		begin(f.services[1], 1, one)
		time.Sleep(settling)
		for _, service := range f.services {
			assertFound(t, known(one), service, 1)
		}
	})
}

func TestTwoOriginsAreAmbiguous(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 12, 3, "1.0", "2.0")
		defer f.close()
		begin(f.services[0], 1, one)
		begin(f.services[1], 1, two)
		time.Sleep(settling)
		asked := 0
		for i, service := range f.services {
			if f.knows(i, 0, 1) || f.knows(i, 1, 1) {
				continue
			}
			asked++
			result, _ := find(t, service, 1)
			assert.Equal(t, origin.Ambiguous, result.Verdict, "instance %d", i)
		}
		assert.Positive(t, asked)
	})
}

func TestRestartedInstanceAsksOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0", "2.0")
		defer f.close()
		for key := range origin.Key(20) {
			begin(f.services[0], key, one)
		}
		time.Sleep(settling)
		f.restart(t, 0, "1.0", "2.0")
		for key := range origin.Key(20) {
			assertFound(t, known(one), f.services[0], key)
		}
		assertFound(t, unknown, f.services[0], 99)
	})
}

// TestRestartedInstanceLearnsSoftwareThatLeft restarts an instance after one of two softwares has left. It must not take the other one for
// the only one.
func TestRestartedInstanceLearnsSoftwareThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0", "2.0")
		defer f.close()
		prepareAndBegin(t, f.services[0], 3, one)
		prepareAndBegin(t, f.services[0], 4, two)
		f.observe("2.0")
		f.restart(t, 0, "2.0")
		assertFound(t, unknown, f.services[0], 1)
		time.Sleep(window)
		f.network.takeSent()
		assertFound(t, origin.Result{Verdict: origin.Unrestricted, Origin: two}, f.services[0], 1)
		begin(f.services[0], 2, two)
		time.Sleep(settling)
		assert.NotEmpty(t, f.network.takeSent(), "it tells its streams, too, since it has learnt that there were several")
	})
}

func TestInstanceThatStartsWithOneSoftwareRestrictsToIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0")
		defer f.close()
		assertFound(t, origin.Result{Verdict: origin.SoleSoftware, Origin: one}, f.services[0], 1)
		f.network.lose(func(datagram) bool { return true })
		assertFound(t, unknown, f.services[0], 1)
	})
}

func TestInstanceAloneDecidesItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 1, 1, "1.0")
		defer f.close()
		assertFound(t, origin.Result{Verdict: origin.SoleSoftware, Origin: one}, f.services[0], 1)
		result, took := find(t, f.services[0], 1)
		assert.Equal(t, origin.Result{Verdict: origin.SoleSoftware, Origin: one}, result)
		assert.Zero(t, took)
		f.observe("1.0", "2.0")
		begin(f.services[0], 2, two)
		assertFound(t, unknown, f.services[0], 1)
		assertFound(t, known(two), f.services[0], 2)
		time.Sleep(settling)
		assert.Empty(t, f.network.takeSent())
	})
}

func TestInstanceWithoutAddressDecidesItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := startInstance(t, newNetwork(), origin.Instance{Hall: "hall-0"}, list(6, 3))
		defer service.Close()
		service.ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
		begin(service, 1, one)
		assertFound(t, known(one), service, 1)
		result, took := find(t, service, 2)
		assert.Equal(t, unknown, result)
		assert.Zero(t, took)
	})
}

func TestInstanceWithoutSocketDecidesItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instances := list(6, 3)
		service := exchange.New(exchange.Options{
			Hall: "hall-0", Address: instances[0].Address, Now: time.Now,
			Listen: func(netip.AddrPort) (exchange.Transport, error) { return exchange.Transport{}, errors.New("in use") },
		})
		require.Error(t, service.Start())
		defer service.Close()
		service.SetInstances(instances)
		service.ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
		begin(service, 1, one)
		assertFound(t, known(one), service, 1)
		assertFound(t, unknown, service, 2)
	})
}

// TestFormerVersionsNeverAnswer starts one instance among others that know no datagrams, as the first one of a rolling restart is.
func TestFormerVersionsNeverAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instances := list(6, 3)
		service := startInstance(t, newNetwork(), instances[0], instances)
		defer service.Close()
		service.ObserveEndpoints(time.Now(), chat("1.0"))
		time.Sleep(settling)
		result, took := find(t, service, 1)
		assert.Equal(t, unknown, result, "nobody rules out another software")
		assert.Equal(t, askTimeout, took)
		time.Sleep(window)
		assertFound(t, origin.Result{Verdict: origin.Unrestricted, Origin: one}, service, 1)
		service.ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
		assertFound(t, unknown, service, 1)
	})
}

func TestInstancesAreToldWhenTheyJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0", "2.0")
		defer f.close()
		time.Sleep(settling)
		f.network.takeSent()
		f.services[0].SetInstances(nil)
		for key := range origin.Key(50) {
			begin(f.services[0], key, one)
		}
		time.Sleep(settling)
		assert.Empty(t, withoutChecks(t, f.network.takeSent()))
		f.services[0].SetInstances(f.instances)
		time.Sleep(settling)
		assert.Equal(t, tellings(f), f.services[0].Counters().ToldRecords)
		for key := range origin.Key(50) {
			assertFound(t, known(one), f.services[1+key%5], key)
		}
		before := f.services[0].Counters().ToldRecords
		f.services[0].SetInstances(f.instances)
		f.services[0].SetInstances(f.instances[:5])
		time.Sleep(settling)
		assert.Less(t, f.services[0].Counters().ToldRecords-before, uint64(75), "only those that had not been told are")
		for key := range origin.Key(50) {
			assertFound(t, known(one), f.services[1+key%4], key)
		}
	})
}

// tellings returns how many instances the first one tells about its streams, over all of them.
func tellings(f *fleet) uint64 {
	var count uint64
	for key := range origin.Key(50) {
		count += uint64(len(f.told(0, key)))
	}
	return count
}

func TestStreamsOfSharedServicesAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3)
		defer f.close()
		other := origin.Origin{Service: "canary", Software: "1.0"}
		for _, service := range f.services {
			service.ObserveEndpoints(time.Now(), map[string][]string{"chat": {"1.0"}, "canary": {"1.0"}})
		}
		begin(f.services[0], 1, other)
		time.Sleep(window / 2)
		assert.Empty(t, f.network.takeSent())
		for _, service := range f.services {
			service.SetSharedServices(time.Now(), []string{"chat", "canary"})
		}
		begin(f.services[0], 2, one)
		time.Sleep(settling)
		for key, began := range map[origin.Key]origin.Origin{1: other, 2: one} {
			result, _ := findAmong(t, f.services[5], key, "chat", "canary")
			assert.Equal(t, known(began), result)
		}
		result, _ := findAmong(t, f.services[5], 3, "chat", "canary")
		assert.Equal(t, unknown, result)
	})
}

func TestTellingEndsWithLifetimeOfSoftware(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 3, "1.0", "2.0")
		defer f.close()
		f.observe("2.0")
		time.Sleep(origin.MaxLifetime + window)
		f.network.takeSent()
		begin(f.services[0], 1, two)
		time.Sleep(settling)
		assert.Empty(t, f.network.takeSent())
		f.observe("2.0", "3.0")
		time.Sleep(settling)
		assert.NotEmpty(t, f.network.takeSent(), "it begins again with the next software")
	})
}

func TestInterruptedObservationMakesInstanceAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 3, "1.0")
		defer f.close()
		time.Sleep(window)
		f.services[0].InterruptObservation()
		f.services[1].ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
		assertFound(t, unknown, f.services[0], 1)
	})
}

func TestBeginDoesNotWaitForTransport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, instances := newNetwork(), list(6, 3)
		released := make(chan struct{})
		service := exchange.New(exchange.Options{
			Hall: "hall-0", Address: instances[0].Address, Now: time.Now,
			Listen: func(address netip.AddrPort) (exchange.Transport, error) {
				transport, err := n.listen(address)
				transport.Send = func(netip.AddrPort, []byte) error {
					<-released
					return nil
				}
				return transport, err
			},
		})
		require.NoError(t, service.Start())
		service.SetInstances(instances)
		service.ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
		began := time.Now()
		for key := range origin.Key(10_000) {
			begin(service, key, one)
		}
		assert.Zero(t, time.Since(began))
		assert.Positive(t, service.Counters().Dropped, "what waits to be told is bounded")
		assertFound(t, known(one), service, 9_999)
		close(released)
		service.Close()
	})
}

func TestFindEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 3, "1.0")
		defer f.close()
		f.network.lose(func(datagram) bool { return true })
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		began := time.Now()
		assert.Equal(t, unknown, f.services[0].Find(ctx, began, 1, []string{"chat"}, window))
		assert.Equal(t, 20*time.Millisecond, time.Since(began))
	})
}

func TestFindEndsWithClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 3, "1.0", "2.0")
		defer f.services[1].Close()
		defer f.services[2].Close()
		f.network.lose(func(datagram) bool { return true })
		time.AfterFunc(20*time.Millisecond, f.services[0].Close)
		result, took := find(t, f.services[0], 1)
		assert.Equal(t, unknown, result)
		assert.Equal(t, 20*time.Millisecond, took)
	})
}

func TestInquiriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 3, "1.0")
		defer f.close()
		f.network.lose(func(datagram) bool { return true })
		ctx, cancel := context.WithCancel(t.Context())
		for key := range origin.Key(1024) {
			go f.services[0].Find(ctx, time.Now(), key, []string{"chat"}, window)
		}
		synctest.Wait()
		result, took := find(t, f.services[0], 5000)
		assert.Equal(t, unknown, result, "not even the only software is taken for sure")
		assert.Zero(t, took)
		// Their timers must not expire in several threads at once, at which the race detector itself fails.
		cancel()
		time.Sleep(settling)
		f.network.lose(func(datagram) bool { return false })
		assertFound(t, origin.Result{Verdict: origin.SoleSoftware, Origin: one}, f.services[0], 5000)
	})
}

func TestListOfInstancesIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, instances := newNetwork(), list(40, 4)
		service := startInstance(t, n, instances[0], instances)
		defer service.Close()
		service.ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
		for key := range origin.Key(1000) {
			begin(service, key, one)
		}
		time.Sleep(settling)
		for _, sent := range n.takeSent() {
			assert.True(t, slices.ContainsFunc(instances[:32], func(instance origin.Instance) bool { return instance.Address == sent.to }),
				fmt.Sprint(sent.to))
		}
	})
}
