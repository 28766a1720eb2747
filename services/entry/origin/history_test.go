// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

// chat returns the softwares that serve one service.
func chat(softwares ...string) map[string][]string {
	return map[string][]string{"chat": softwares}
}

// known returns the softwares of the service that were known within a window.
func known(history *origin.History, now time.Time, window time.Duration) []string {
	var softwares []string
	for _, seen := range history.Known(now, []string{"chat"}, window) {
		softwares = append(softwares, seen.Origin.Software)
	}
	return softwares
}

func TestHistoryIsProvenOnlyIfObservedForWholeWindow(t *testing.T) {
	history := origin.NewHistory()
	assert.False(t, history.IsProven(start, 0), "nothing was observed yet")
	history.Observe(start, chat("1.0"))
	assert.False(t, history.IsProven(after(time.Minute-1), time.Minute))
	assert.True(t, history.IsProven(after(time.Minute), time.Minute))
	assert.False(t, history.IsProven(after(time.Minute), 2*time.Minute))
}

func TestInterruptedObservationProvesNothing(t *testing.T) {
	history := origin.NewHistory()
	history.Observe(start, chat("1.0"))
	history.Interrupt()
	assert.False(t, history.IsProven(after(time.Hour), time.Minute))
	history.Observe(after(time.Hour), chat("1.0"))
	assert.False(t, history.IsProven(after(time.Hour+time.Second), time.Minute))
	assert.True(t, history.IsProven(after(time.Hour+time.Minute), time.Minute))
}

func TestSoftwareThatLeftStaysKnownForWindow(t *testing.T) {
	history := origin.NewHistory()
	history.Observe(start, chat("1.0", "2.0"))
	history.Observe(after(time.Minute), chat("2.0"))
	assert.Equal(t, []string{"1.0", "2.0"}, known(history, after(2*time.Minute-1), time.Minute))
	assert.Equal(t, []string{"2.0"}, known(history, after(2*time.Minute), time.Minute))
}

func TestServiceWithoutEndpointsKeepsItsSoftwares(t *testing.T) {
	history := origin.NewHistory()
	history.Observe(start, chat("1.0"))
	history.Observe(after(time.Second), nil)
	assert.Equal(t, []string{"1.0"}, known(history, after(2*time.Second), time.Minute))
	assert.Empty(t, known(history, after(2*time.Minute), time.Minute))
}

func TestPresentSoftwareNeverGrowsOld(t *testing.T) {
	history := origin.NewHistory()
	history.Observe(start, chat("1.0"))
	history.Sweep(after(time.Hour))
	assert.Equal(t, []origin.Sighting{{Origin: one}}, history.Known(after(time.Hour), []string{"chat"}, time.Second))
}

func TestUnknownSoftwareCountsAsItsOwn(t *testing.T) {
	history := origin.NewHistory()
	history.Observe(start, chat("", "1.0"))
	assert.Equal(t, []string{"", "1.0"}, known(history, start, time.Minute))
	assert.True(t, history.HasSeveral(start, "chat"))
}

func TestSeveralSoftwaresEndWithLifetime(t *testing.T) {
	history := origin.NewHistory()
	history.Observe(start, chat("1.0"))
	assert.False(t, history.HasSeveral(start, "chat"))
	history.Observe(start, chat("1.0", "2.0"))
	assert.True(t, history.HasSeveral(start, "chat"))
	assert.False(t, history.HasSeveral(start, "other"))
	history.Observe(after(time.Minute), chat("2.0"))
	assert.True(t, history.HasSeveral(after(time.Minute+origin.MaxLifetime-1), "chat"))
	assert.False(t, history.HasSeveral(after(time.Minute+origin.MaxLifetime), "chat"))
}

func TestLearnedSightingsCountButProveNothing(t *testing.T) {
	history := origin.NewHistory()
	history.Learn(start, origin.Sighting{Origin: one, Age: time.Minute})
	assert.False(t, history.IsProven(after(time.Hour), time.Minute))
	assert.Equal(t, []origin.Sighting{{Origin: one, Age: time.Minute}}, history.Known(start, []string{"chat"}, time.Hour))
	history.Learn(start, origin.Sighting{Origin: one, Age: 2 * time.Minute})
	assert.Equal(t, []origin.Sighting{{Origin: one, Age: time.Minute}}, history.Known(start, []string{"chat"}, time.Hour), "older news are none")
	history.Learn(start, origin.Sighting{Origin: one, Age: time.Second})
	assert.Equal(t, []origin.Sighting{{Origin: one, Age: time.Second}}, history.Known(start, []string{"chat"}, time.Hour))
}

func TestLearnedSightingDoesNotEndPresence(t *testing.T) {
	history := origin.NewHistory()
	history.Observe(start, chat("1.0"))
	history.Learn(after(time.Second), origin.Sighting{Origin: one})
	assert.Equal(t, []origin.Sighting{{Origin: one}}, history.Known(after(time.Hour), []string{"chat"}, time.Minute))
}

func TestSightingsOfImpossibleAgeAreIgnored(t *testing.T) {
	history := origin.NewHistory()
	history.Learn(start, origin.Sighting{Origin: one, Age: origin.MaxLifetime})
	history.Learn(start, origin.Sighting{Origin: one, Age: -1})
	assert.Empty(t, history.Known(start, []string{"chat"}, time.Hour))
}

func TestHistoryIsBounded(t *testing.T) {
	history := origin.NewHistory()
	for i := range 100 {
		software := fmt.Sprintf("%d", i)
		history.Learn(after(time.Duration(i)*time.Second), origin.Sighting{Origin: origin.Origin{Service: "chat", Software: software}})
	}
	softwares := known(history, after(100*time.Second), time.Hour)
	assert.Len(t, softwares, 16)
	assert.Contains(t, softwares, "99", "the newest ones stay")
	for i := range 5000 {
		history.Learn(start, origin.Sighting{Origin: origin.Origin{Service: fmt.Sprintf("service-%d", i)}})
	}
	assert.True(t, history.HasSeveral(after(100*time.Second), "chat"))
	assert.NotEmpty(t, history.Known(start, []string{"service-4094"}, time.Hour))
	assert.Empty(t, history.Known(start, []string{"service-4095"}, time.Hour))
	history.Sweep(after(time.Hour))
	history.Learn(after(time.Hour), origin.Sighting{Origin: origin.Origin{Service: "service-4999"}})
	assert.NotEmpty(t, history.Known(after(time.Hour), []string{"service-4999"}, time.Hour), "there is room after a sweep")
}
