// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package process

import (
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/setting"
	"github.com/shelfledge/shelfledge/services/daemon/budget"
	"github.com/shelfledge/shelfledge/services/daemon/membership"
	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
	"github.com/shelfledge/shelfledge/services/daemon/routing"
)

// nodeOptions converts the settings to the options of the control state.
func nodeOptions(s *setting.Settings, self fleet.Instance, boot uint64) node.Options {
	return node.Options{
		Self: self, Boot: boot, Halls: s.Halls, Endpoints: s.FleetEndpoints(), Classes: s.FleetClasses(),
		Placement: placementOptions(s), Routing: routingOptions(s), Membership: membershipOptions(s),
		Budget: budget.Limits{LoadsPerSecond: s.Store.LoadsPerSecond, AtFullSpeed: s.Store.AtFullSpeed}, Timing: nodeTiming(s),
	}
}

func placementOptions(s *setting.Settings) placement.Options {
	o := placement.DefaultOptions()
	c := s.Decision
	o.AgingStep = c.AgingStep.Duration()
	o.CustomerShare = c.CustomerShare
	o.CustomerBatchShare = c.CustomerBatchShare
	o.FastHalfLife = c.FastHalfLife.Duration()
	o.SlowHalfLife = c.SlowHalfLife.Duration()
	o.GatherShare = c.GatherShare
	o.GatherLimit = c.GatherLimit.Duration()
	o.ReserveShare = c.ReserveShare
	o.PreloadGain = c.PreloadGain
	o.GiveUpFailures = c.GiveUpFailures
	o.LoadTimeout = c.LoadTimeout.Duration()
	o.StartWithin = s.Timing.StartWithin.Duration()
	return o
}

func routingOptions(s *setting.Settings) routing.Options {
	o := routing.DefaultOptions()
	o.BoundedLoad = s.Decision.BoundedLoad
	return o
}

func membershipOptions(s *setting.Settings) membership.Options {
	o := membership.DefaultOptions()
	o.HeartbeatInterval = s.Timing.Heartbeat.Duration()
	o.LostAfter = s.Timing.LostAfter.Duration()
	o.TakeoverDelay = s.Timing.Settle.Duration()
	return o
}

func nodeTiming(s *setting.Settings) node.Timing {
	t := node.DefaultTiming()
	c := s.Timing
	t.DigestInterval = c.Digest.Duration()
	t.HallSilence = c.HallSilence.Duration()
	t.InspectionInterval = c.Inspect.Duration()
	t.GrantAge = c.GrantAge.Duration()
	t.LeaseTTL = c.LeaseTTL.Duration()
	t.LeaseMargin = c.LeaseMargin.Duration()
	t.LeaseRenew = c.LeaseRenew.Duration()
	t.RecoveryDelay = c.RecoveryDelay.Duration()
	t.PermitLife = s.Decision.LoadTimeout.Duration() + permitMargin
	return t
}
