// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/origin"
	"github.com/shelfledge/shelfledge/services/entry/origin/archive"
	"github.com/shelfledge/shelfledge/services/entry/origin/exchange"
)

const (
	// settledAge is the age from which on streams have to outlive all instances.
	settledAge = 500 * time.Millisecond
	// archivedStreams is the number of streams of a case.
	archivedStreams = 60
	// waitForStore bounds the wait of a stream that is taken up for the store.
	waitForStore = 400 * time.Millisecond
)

// errDown is the error of a store that does not answer.
var errDown = &store.RefusedError{Status: 503}

// restartAll replaces all instances by ones that know nothing but the softwares that serve.
func (f *fleet) restartAll(t *testing.T, softwares ...string) {
	t.Helper()
	f.close()
	for i := range f.services {
		f.services[i] = startInstance(t, f.network, f.instances[i], f.instances)
		f.services[i].ObserveEndpoints(time.Now(), chat(softwares...))
	}
}

// beginAll lets the instances begin streams in turn, of two softwares.
func (f *fleet) beginAll(streams origin.Key) {
	for key := range streams {
		began := one
		if key%3 == 0 {
			began = two
		}
		begin(f.services[int(key)%len(f.services)], key, began)
		time.Sleep(latency)
	}
}

// countKnown returns how many streams of beginAll an instance knows. None may be taken for one of the other software.
func (f *fleet) countKnown(t *testing.T, i int, streams origin.Key) int {
	t.Helper()
	count := 0
	for key := range streams {
		began := one
		if key%3 == 0 {
			began = two
		}
		if result, _ := find(t, f.services[i], key); result == known(began) {
			count++
		}
		assertNotJoined(t, began, f.services[i], key)
	}
	return count
}

// assertAllKnown checks that streams of beginAll are known to an instance.
func (f *fleet) assertAllKnown(t *testing.T, i int, streams origin.Key) {
	t.Helper()
	for key := range streams {
		began := one
		if key%3 == 0 {
			began = two
		}
		assertFound(t, known(began), f.services[i], key)
	}
}

func TestStreamsOutliveAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0", "2.0")
		defer func() { f.close() }()
		for range 3 {
			f.beginAll(archivedStreams)
			time.Sleep(settledAge)
			f.restartAll(t, "1.0", "2.0")
			for i := range f.services {
				f.assertAllKnown(t, i, archivedStreams)
				assertFound(t, unknown, f.services[i], 9999)
			}
		}
	})
}

// TestSoftwareThatLeftOutlivesAllInstances guards against streams of a software that left before all instances were lost, and that go on at the
// one that is left.
func TestSoftwareThatLeftOutlivesAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		prepareAndBegin(t, f.services[0], 1, one)
		f.observe("1.0", "2.0")
		prepareAndBegin(t, f.services[0], 2, two)
		time.Sleep(settling)
		f.observe("2.0")
		time.Sleep(settledAge)
		for range 3 {
			f.restartAll(t, "2.0")
			for _, service := range f.services {
				assertFound(t, known(one), service, 1)
				assertFound(t, unknown, service, 9999)
			}
			time.Sleep(settling)
		}
		time.Sleep(2 * origin.MaxLifetime)
		f.restartAll(t, "2.0")
		assertFound(t, origin.Result{Verdict: origin.SoleSoftware, Origin: two}, f.services[0], 1)
	})
}

// TestSoftwareThatLeftDuringRestartIsKnown guards against a software that is replaced while no instance runs.
func TestSoftwareThatLeftDuringRestartIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0")
		defer func() { f.close() }()
		time.Sleep(settledAge)
		f.restartAll(t, "2.0")
		assertFound(t, onlyPossible(one), f.services[0], 1)
	})
}

func TestInstanceThatCannotReadArchiveRelysOnOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		f.network.store.Fail(errDown)
		f.restart(t, 0, "1.0")
		assertFound(t, origin.Result{Verdict: origin.SoleSoftware, Origin: one}, f.services[0], 1)
		f.restartAll(t, "1.0")
		result, took := find(t, f.services[0], 1)
		assert.Equal(t, unknown, result, "none has read what others knew")
		assert.LessOrEqual(t, took, askTimeout+2*waitForStore)
		f.network.store.Fail(nil)
		time.Sleep(settledAge)
		assertFound(t, origin.Result{Verdict: origin.SoleSoftware, Origin: one}, f.services[0], 1)
	})
}

func TestUnreadableArchiveProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 2, 1, "1.0")
		defer func() { f.close() }()
		f.network.store.Put("shelfledge/streams/served/later", []byte{2})
		f.restartAll(t, "1.0")
		time.Sleep(settling)
		assertFound(t, unknown, f.services[0], 1)
	})
}

func TestStreamsOfStoreOutageAreWrittenAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0", "2.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		f.network.store.Fail(errDown)
		f.beginAll(archivedStreams)
		time.Sleep(settling)
		f.network.store.Fail(nil)
		time.Sleep(2 * settledAge)
		f.restartAll(t, "1.0", "2.0")
		f.assertAllKnown(t, 0, archivedStreams)
	})
}

// TestAnotherInstanceWritesAfterLossOfTheOneThatWrote guards against streams that nobody writes.
func TestAnotherInstanceWritesAfterLossOfTheOneThatWrote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0", "2.0")
		defer func() { f.close() }()
		archiver, exists := origin.NewHolders(f.instances[0], f.instances).Archiver(0)
		assert.True(t, exists)
		lost := slices.IndexFunc(f.instances, func(instance origin.Instance) bool { return instance.Address == archiver })
		f.services[lost].Close()
		f.network.store.Fail(errDown)
		key := origin.Key(0)
		for i, service := range f.services {
			if i != lost {
				begin(service, key, one)
				key++
			}
		}
		time.Sleep(settling)
		f.network.store.Fail(nil)
		rest := slices.Delete(slices.Clone(f.instances), lost, lost+1)
		for i, service := range f.services {
			if i != lost {
				service.SetInstances(rest)
			}
		}
		time.Sleep(2 * settledAge)
		f.services[lost] = startInstance(t, f.network, f.instances[lost], f.instances)
		f.restartAll(t, "1.0", "2.0")
		for known := range key {
			assertFound(t, origin.Result{Verdict: origin.Known, Origin: one}, f.services[0], known)
		}
	})
}

// TestSoftwaresAreStatedBySeveral guards against a software that left and is not known after all instances were lost, since the instance that
// writes did not reach the store.
func TestSoftwaresAreStatedBySeveral(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		first, _ := origin.NewHolders(f.instances[0], f.instances).Archiver(0)
		for i, service := range f.services {
			if f.instances[i].Address != first {
				service.ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
			}
		}
		prepareAndBegin(t, f.services[0], 1, two)
		time.Sleep(settledAge)
		f.restartAll(t, "1.0")
		assertFound(t, known(two), f.services[0], 1)
		assertFound(t, unknown, f.services[0], 9999)
	})
}

// TestArchiveIsWrittenAgainAfterStoreLostIt guards against a store that comes back without leased keys, of which no instance learns.
func TestArchiveIsWrittenAgainAfterStoreLostIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0", "2.0")
		defer func() { f.close() }()
		f.beginAll(archivedStreams)
		time.Sleep(settling)
		f.network.store.RevokeLeases()
		time.Sleep(2 * settling)
		f.restartAll(t, "1.0", "2.0")
		f.assertAllKnown(t, 0, archivedStreams)
		f.restartAll(t, "2.0")
		assertFound(t, unknown, f.services[0], 9999)
	})
}

// TestFewCallsToStore bounds the calls of a fleet to the store, whatever its size.
func TestFewCallsToStore(t *testing.T) {
	for instances, archivers := range map[int]int{6: 1, 32: 2} {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, instances, 3, "1.0")
			defer func() { f.close() }()
			time.Sleep(time.Minute)
			quiet := f.network.store.Counts()
			assert.Equal(t, instances, quiet.Reads, "each reads once")
			assert.LessOrEqual(t, quiet.Writes+quiet.Grants, 12, "three instances write")
			assert.LessOrEqual(t, quiet.Renewals, 36, "and renew each 5 s")
			f.observe("1.0", "2.0")
			const seconds, perChange, perSecond = 10, 3, 40
			f.beginAll(seconds * 1000)
			busy := f.network.store.Counts()
			assert.Equal(t, quiet.Reads, busy.Reads)
			assert.LessOrEqual(t, busy.Writes-quiet.Writes, perChange+perSecond*seconds*archivers)
			assert.LessOrEqual(t, busy.Grants-quiet.Grants, 2*archivers)
		})
	}
}

// TestFewStreamsAreLostWithAllInstances bounds how many of the streams that began just before the loss of all instances are unknown after it.
func TestFewStreamsAreLostWithAllInstances(t *testing.T) {
	for name, test := range map[string]struct {
		pause time.Duration
		// firstEvent is the time from the sending of a stream to its first event.
		firstEvent time.Duration
		unknown    int
	}{
		"80 a second, first events at once":        {pause: 12500 * time.Microsecond, unknown: 8},
		"1,000 a second, first events at once":     {pause: time.Millisecond, unknown: 40},
		"80 a second, first events after 100 ms":   {pause: 12500 * time.Microsecond, firstEvent: 100 * time.Millisecond},
		"1,000 a second, first events after 50 ms": {pause: time.Millisecond, firstEvent: 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 6, 3, "1.0", "2.0")
				defer func() { f.close() }()
				time.Sleep(settling)
				streams := origin.Key(time.Second / test.pause)
				begun := origin.Key(0)
				for key := range streams {
					service := f.services[int(key)%len(f.services)]
					service.Expect(time.Now(), key, one, time.Now().Add(window))
					if late := origin.Key(test.firstEvent / test.pause); key >= late {
						begin(f.services[int(key-late)%len(f.services)], key-late, one)
						begun = key - late + 1
					}
					time.Sleep(test.pause)
				}
				f.restartAll(t, "1.0", "2.0")
				lost := 0
				for key := range begun {
					if result, _ := find(t, f.services[0], key); result == unknown {
						lost++
					}
				}
				t.Logf("%d of %d streams are unknown", lost, begun)
				assert.LessOrEqual(t, lost, test.unknown)
			})
		})
	}
}

func TestUnknownStreamsCauseFewReadings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 2, 1, "1.0", "2.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		before := f.network.store.Counts().Reads
		const seconds = 20
		for key := range origin.Key(seconds * 100) {
			assertFound(t, unknown, f.services[0], key)
			time.Sleep(10 * time.Millisecond)
		}
		assert.LessOrEqual(t, f.network.store.Counts().Reads-before, 10)
	})
}

// TestInstancesThatObserveNothingDoNotGuess guards against streams that began at a software which the instances of a hall that is cut off do not
// see, and that go on at the one that they know.
func TestInstancesThatObserveNothingDoNotGuess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 1, "1.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		begin(f.services[0], 1, one)
		for _, service := range f.services {
			service.InterruptObservation()
		}
		begin(f.services[0], 2, one)
		time.Sleep(settling)
		assertFound(t, unknown, f.services[1], 3)
		for _, key := range []origin.Key{1, 2} {
			assertFound(t, known(one), f.services[1], key)
			assertFound(t, known(one), f.services[2], key)
		}
		f.services[2].ObserveEndpoints(time.Now(), chat("1.0"))
		assertFound(t, origin.Result{Verdict: origin.SoleSoftware, Origin: one}, f.services[1], 3)
	})
}

// TestStreamsAreWrittenByAnotherIfTheOneThatWritesDoesNotReachStore guards against streams that nobody writes while the store turns one instance
// away.
func TestStreamsAreWrittenByAnotherIfTheOneThatWritesDoesNotReachStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0", "2.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		first, _ := origin.NewHolders(f.instances[0], f.instances).Archiver(0)
		f.network.turnAway(first, errDown)
		f.beginAll(archivedStreams)
		time.Sleep(settling)
		f.network.turnAway(first, nil)
		f.restartAll(t, "1.0", "2.0")
		f.assertAllKnown(t, 0, archivedStreams)
	})
}

// TestStreamSentOnBeforeItsFirstEventIsKnownWhereItBegan guards against the endpoint that a stream was first sent to counting as the one that
// began it.
func TestStreamSentOnBeforeItsFirstEventIsKnownWhereItBegan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0", "2.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		until := time.Now().Add(window)
		for _, key := range []origin.Key{1, 2} {
			f.services[0].Expect(time.Now(), key, one, until)
			time.Sleep(settledAge)
			f.services[0].Expect(time.Now(), key, two, until)
			time.Sleep(settledAge)
		}
		assertFound(t, origin.Result{Verdict: origin.Ambiguous}, f.services[0], 1)
		f.services[0].Begin(time.Now(), 2, two, until)
		time.Sleep(settledAge)
		for _, service := range f.services {
			assertFound(t, known(two), service, 2)
		}
		f.restartAll(t, "1.0", "2.0")
		for _, service := range f.services {
			assertFound(t, origin.Result{Verdict: origin.Ambiguous}, service, 1)
			assertFound(t, known(two), service, 2)
		}
	})
}

// TestInstanceWithoutEndpointsRests guards against an instance that looks for something to write all the time.
func TestInstanceWithoutEndpointsRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, instances := newNetwork(), list(1, 1)
		var looks atomic.Int64
		service := exchange.New(exchange.Options{
			Hall: instances[0].Hall, Address: instances[0].Address, Log: logrus.NewEntry(logrus.New()), Listen: n.listen,
			Archive: &archive.Archive{Store: n.store.Client(), Writer: 1},
			Now: func() time.Time {
				looks.Add(1)
				return time.Now()
			},
		})
		assert.NoError(t, service.Start())
		defer service.Close()
		service.SetInstances(instances)
		const minutes = 10
		time.Sleep(minutes * time.Minute)
		assert.LessOrEqual(t, looks.Load(), int64(100*minutes))
	})
}

// TestSoftwaresAreNotStatedAgainWhenListChanges guards against a store that is called by each writer whenever an instance comes or goes.
func TestSoftwaresAreNotStatedAgainWhenListChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 12, 3, "1.0")
		defer f.close()
		time.Sleep(settling)
		other := slices.IndexFunc(f.instances, func(instance origin.Instance) bool {
			return !origin.NewHolders(instance, f.instances).StatesSoftwares()
		})
		before := f.network.store.Counts().Writes
		for _, list := range [][]origin.Instance{slices.Delete(slices.Clone(f.instances), other, other+1), f.instances} {
			for _, service := range f.services {
				service.SetInstances(list)
			}
			time.Sleep(settledAge)
		}
		assert.Equal(t, before, f.network.store.Counts().Writes)
	})
}
