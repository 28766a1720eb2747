// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

const (
	// lateKey is a stream that only a lost instance knew.
	lateKey = 1000
	// maxUses is that of the package.
	maxUses = 1024
	// statesNothing is an instance that does not write which softwares served, whether the one that had its number is lost or not.
	statesNothing = 3
)

// loseStream lets an instance begin a stream of which no other one hears, be lost and leave the list.
func (f *fleet) loseStream(i int, at origin.Origin, lifetime time.Duration) {
	f.network.lose(func(datagram) bool { return true })
	f.services[i].Begin(time.Now(), lateKey, at, time.Now().Add(lifetime))
	f.services[i].Close()
	f.network.lose(nil)
	f.removeFromList(i)
}

// removeFromList lets a lost instance leave the list.
func (f *fleet) removeFromList(i int) {
	f.instances = slices.Delete(slices.Clone(f.instances), i, i+1)
	f.services = slices.Delete(f.services, i, i+1)
	for _, service := range f.services {
		service.SetInstances(f.instances)
	}
}

// testLostStream checks that a stream at software 2.0 goes on nowhere else, of which only an instance knew that was lost. What happens before is done
// by one function, what happens afterwards by another one. A user of software 1.0 is lost at last, so that the stream may have begun there as well.
func testLostStream(t *testing.T, before, after func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := startFleetThatLostStreams(t, "1.0", "2.0")
		f.services[5].Prepare(t.Context(), one)
		before(t, f)
		f.loseStream(3, two, window)
		after(t, f)
		f.services[4].Close()
		f.removeFromList(4)
		for _, service := range f.services {
			assertNotJoined(t, two, service, lateKey)
		}
		f.close()
	})
}

// atOnce lets nothing happen.
func atOnce(*testing.T, *fleet) {}

// TestStreamOfEndpointWithoutSoftwareIsNotJoined guards against streams of endpoints that state no software beside others that do.
func TestStreamOfEndpointWithoutSoftwareIsNotJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "", "2.0")
		time.Sleep(settling)
		prepareAndBegin(t, f.services[3], 1, two)
		f.services[3].Prepare(t.Context(), origin.Origin{Service: "chat"})
		time.Sleep(settledAge)
		f.loseStream(3, origin.Origin{Service: "chat"}, window)
		time.Sleep(settledAge)
		assertNotJoined(t, origin.Origin{Service: "chat"}, f.services[0], lateKey)
		f.close()
	})
}

// TestStreamOfForgottenSoftwareIsNotJoined guards against streams of a software that many others have replaced since.
func TestStreamOfForgottenSoftwareIsNotJoined(t *testing.T) {
	testLostStream(t, func(t *testing.T, f *fleet) {
		f.services[3].Prepare(t.Context(), two)
		time.Sleep(settledAge)
	}, func(_ *testing.T, f *fleet) {
		for i := range 16 {
			f.observe("1.0", fmt.Sprintf("3.%d", i))
			time.Sleep(10 * latency)
		}
		time.Sleep(settledAge)
	})
}

// TestUseThatStoreTakesSlowlyIsKnownToOthers guards against streams of an instance that was lost while it waited for the store.
func TestUseThatStoreTakesSlowlyIsKnownToOthers(t *testing.T) {
	testLostStream(t, func(t *testing.T, f *fleet) {
		f.network.delay(f.instances[3].Address, time.Second)
		f.services[3].Prepare(t.Context(), two)
		time.Sleep(10 * latency)
	}, atOnce)
}

// TestUseWhileStoreFailsIsKnownToOthers guards against streams of an instance that was lost before it tried the store again.
func TestUseWhileStoreFailsIsKnownToOthers(t *testing.T) {
	testLostStream(t, func(t *testing.T, f *fleet) {
		f.network.turnAway(f.instances[3].Address, errDown)
		f.services[3].Prepare(t.Context(), one)
		f.services[3].Prepare(t.Context(), two)
		time.Sleep(10 * latency)
	}, atOnce)
}

// TestUseWantedDuringAttemptIsKnownToOthers guards against streams that begin since the statement of another use ended.
func TestUseWantedDuringAttemptIsKnownToOthers(t *testing.T) {
	testLostStream(t, func(t *testing.T, f *fleet) {
		f.network.delay(f.instances[3].Address, 150*time.Millisecond)
		go f.services[3].Prepare(t.Context(), one)
		time.Sleep(10 * latency)
		f.services[3].Prepare(t.Context(), two)
		time.Sleep(10 * latency)
	}, atOnce)
}

// TestUsesBeyondLimitAreKnownToOthers guards against streams at a software that an instance had no room to state.
func TestUsesBeyondLimitAreKnownToOthers(t *testing.T) {
	testLostStream(t, func(t *testing.T, f *fleet) {
		for i := range maxUses {
			f.services[3].Prepare(t.Context(), origin.Origin{Service: fmt.Sprint(i), Software: "1.0"})
		}
		time.Sleep(settledAge)
		f.services[3].Prepare(t.Context(), two)
		time.Sleep(settledAge)
		began := time.Now()
		f.services[3].Prepare(t.Context(), two)
		assert.Zero(t, time.Since(began), "no stream waits for what cannot be stated")
	}, atOnce)
}

// TestStreamThatOutlivesStatementOfUseIsNotJoined guards against a stream that is taken up when the lease of its instance's use has ended.
func TestStreamThatOutlivesStatementOfUseIsNotJoined(t *testing.T) {
	for _, lifetime := range []time.Duration{5 * time.Minute, 7 * time.Minute, 8 * time.Minute, origin.MaxLifetime} {
		t.Run(lifetime.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleetThatLostStreams(t, "1.0", "2.0")
				f.services[3].Prepare(t.Context(), two)
				f.services[5].Prepare(t.Context(), one)
				time.Sleep(149 * time.Second)
				f.loseStream(3, two, lifetime)
				time.Sleep(lifetime - time.Second)
				f.services[4].Close()
				f.removeFromList(4)
				result := f.services[0].Find(t.Context(), time.Now(), lateKey, []string{"chat"}, lifetime)
				assert.Equal(t, unknown, result)
				f.close()
			})
		})
	}
}

// TestStreamOfInstanceThatStoodStillIsNotJoined guards against a stream that begins while the lease of its instance's use is about to end.
func TestStreamOfInstanceThatStoodStillIsNotJoined(t *testing.T) {
	testLostStream(t, func(t *testing.T, f *fleet) {
		f.services[3].Prepare(t.Context(), two)
		f.network.holdRenewals(f.instances[3].Address, origin.MaxLifetime)
		time.Sleep(origin.MaxLifetime - 30*time.Second)
		f.services[3].Prepare(t.Context(), two)
		time.Sleep(10 * latency)
		f.network.holdRenewals(f.instances[3].Address, 0)
	}, func(*testing.T, *fleet) {
		time.Sleep(window - time.Second)
	})
}

// TestUseThatOthersWereToldIsKnownToInstanceThatStarts guards against streams that go on at the wrong software since who decides has just started.
func TestUseThatOthersWereToldIsKnownToInstanceThatStarts(t *testing.T) {
	testLostStream(t, func(t *testing.T, f *fleet) {
		f.network.turnAway(f.instances[3].Address, errDown)
		f.services[3].Prepare(t.Context(), two)
		time.Sleep(settledAge)
	}, func(t *testing.T, f *fleet) {
		f.restart(t, statesNothing, "1.0", "2.0")
		time.Sleep(settling)
	})
}

// TestUsesThatDoNotFitIntoAnswerProveNothing guards against streams that go on at the wrong software since an answer had no room for a use.
func TestUsesThatDoNotFitIntoAnswerProveNothing(t *testing.T) {
	testLostStream(t, func(t *testing.T, f *fleet) {
		f.network.turnAway(f.instances[3].Address, errDown)
		for i := range 60 {
			f.services[3].Prepare(t.Context(), origin.Origin{Service: "chat", Software: fmt.Sprintf("a software with a long name %d", i)})
		}
		f.services[3].Prepare(t.Context(), two)
		time.Sleep(settledAge)
	}, func(t *testing.T, f *fleet) {
		f.restart(t, statesNothing, "1.0", "2.0")
		for range 3 {
			time.Sleep(settling)
			assertNotJoined(t, two, f.services[statesNothing], lateKey)
		}
	})
}

// TestUseThatCopyOfStoreLacksIsNotJoined guards against streams of an instance that was lost when the store came back from a copy without its use.
func TestUseThatCopyOfStoreLacksIsNotJoined(t *testing.T) {
	for name, restarts := range map[string]int{"none restarts": 0, "who asks restarts": 1, "all restart": 5} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleetThatLostStreams(t, "1.0", "2.0")
				former := f.network.store.Copy()
				f.services[3].Prepare(t.Context(), two)
				time.Sleep(settledAge)
				f.network.store.Return(former)
				f.loseStream(3, two, window)
				for i := range restarts {
					f.restart(t, i, "1.0", "2.0")
				}
				for range 3 {
					time.Sleep(settling)
					assertNotJoined(t, two, f.services[0], lateKey)
				}
				f.close()
			})
		})
	}
}

// TestUsesAreReliedOnAgainSomeTimeAfterCopy guards against streams that are refused since the store came back from a copy long ago.
func TestUsesAreReliedOnAgainSomeTimeAfterCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		f.network.store.Return(f.network.store.Copy())
		time.Sleep(origin.MaxLifetime + 20*time.Second)
		f.restartAll(t, "1.0", "2.0")
		time.Sleep(settledAge)
		assertFound(t, onlyPossible(one), f.services[0], 1)
	})
}

// TestStreamThatIsTakenUpLateIsNotDenied guards against streams that are older than their instance's record of them, and go on elsewhere.
func TestStreamThatIsTakenUpLateIsNotDenied(t *testing.T) {
	const lifetime = 20 * time.Second
	for _, late := range []time.Duration{time.Second, window, origin.MaxLifetime - time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleetThatLostStreams(t, "1.0", "2.0")
				defer func() { f.close() }()
				f.services[3].Prepare(t.Context(), two)
				f.services[3].Begin(time.Now(), lateKey, two, time.Now().Add(lifetime))
				time.Sleep(lifetime + late)
				for _, service := range f.services {
					assertNotJoined(t, two, service, lateKey)
				}
			})
		})
	}
}

// TestStreamOfInstanceThatLagsBehindIsNotJoined guards against streams of an instance that has not seen a second software yet, and states no use.
func TestStreamOfInstanceThatLagsBehindIsNotJoined(t *testing.T) {
	for name, forget := range map[string]func(t *testing.T, f *fleet){
		"others live on":     func(*testing.T, *fleet) {},
		"who asks restarts":  func(t *testing.T, f *fleet) { f.restart(t, 0, "1.0", "2.0") },
		"all others restart": func(t *testing.T, f *fleet) { f.restartAll(t, "1.0", "2.0") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleetWithLaggard(t)
				forget(t, f)
				time.Sleep(settledAge)
				assertNotJoined(t, one, f.services[0], lateKey)
				f.close()
			})
		})
	}
}

// startFleetWithLaggard starts a fleet of which one instance saw only one of two softwares, and no datagram reached it. It and one at the other
// software are lost, each with a stream.
func startFleetWithLaggard(t *testing.T) *fleet {
	t.Helper()
	f := startFleet(t, 6, 3)
	f.network.lose(func(sent datagram) bool { return sent.to == f.instances[3].Address })
	f.services[3].ObserveEndpoints(time.Now(), chat("1.0"))
	time.Sleep(settledAge)
	for i, service := range f.services {
		if i != 3 {
			service.ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
		}
	}
	time.Sleep(settledAge)
	f.services[4].Prepare(t.Context(), two)
	f.services[3].Prepare(t.Context(), one)
	time.Sleep(settledAge)
	f.loseStream(4, two, window)
	f.loseStream(3, one, window)
	time.Sleep(settledAge)
	return f
}
