// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package process_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/setting"
	"github.com/shelfledge/shelfledge/services/daemon/membership"
	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/once"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
	"github.com/shelfledge/shelfledge/services/daemon/routing"
)

// minimalSettings is a settings file that omits all settings with a default.
const minimalSettings = `{
	"instance": {"id": "i1", "hall": "h1"}, "halls": ["h1"],
	"listen": {"callers": {"address": "127.0.0.1:1"}, "operators": {"address": "127.0.0.1:2"}, "peers": {"address": "127.0.0.1:3"}},
	"kv": {"addresses": ["127.0.0.1:4"]}
}`

// TestSettingDefaultsMatchServiceDefaults guards against settings whose defaults differ from the constants of the services. The
// settings package repeats these values; their reasons are documented at the constants.
func TestSettingDefaultsMatchServiceDefaults(t *testing.T) {
	s, err := setting.Parse("minimal", []byte(minimalSettings))
	require.NoError(t, err)
	p, d := placement.DefaultOptions(), s.Decision
	require.Equal(t, p.AgingStep, d.AgingStep.Duration())
	require.Equal(t, p.CustomerShare, d.CustomerShare)
	require.Equal(t, p.CustomerBatchShare, d.CustomerBatchShare)
	require.Equal(t, p.FastHalfLife, d.FastHalfLife.Duration())
	require.Equal(t, p.SlowHalfLife, d.SlowHalfLife.Duration())
	require.Equal(t, p.GatherShare, d.GatherShare)
	require.Equal(t, p.GatherLimit, d.GatherLimit.Duration())
	require.Equal(t, p.ReserveShare, d.ReserveShare)
	require.Equal(t, p.PreloadGain, d.PreloadGain)
	require.Equal(t, p.GiveUpFailures, d.GiveUpFailures)
	require.Equal(t, p.LoadTimeout, d.LoadTimeout.Duration())
	require.Equal(t, p.StartWithin, s.Timing.StartWithin.Duration())
	require.Equal(t, routing.DefaultOptions().BoundedLoad, d.BoundedLoad)

	m := membership.DefaultOptions()
	require.Equal(t, m.HeartbeatInterval, s.Timing.Heartbeat.Duration())
	require.Equal(t, m.LostAfter, s.Timing.LostAfter.Duration())
	require.Equal(t, m.TakeoverDelay, s.Timing.Settle.Duration())

	n := node.DefaultTiming()
	require.Equal(t, n.DigestInterval, s.Timing.Digest.Duration())
	require.Equal(t, n.HallSilence, s.Timing.HallSilence.Duration())
	require.Equal(t, n.InspectionInterval, s.Timing.Inspect.Duration())
	require.Equal(t, n.GrantAge, s.Timing.GrantAge.Duration())
	require.Equal(t, n.LeaseTTL, s.Timing.LeaseTTL.Duration())
	require.Equal(t, n.LeaseMargin, s.Timing.LeaseMargin.Duration())
	require.Equal(t, n.LeaseRenew, s.Timing.LeaseRenew.Duration())
	require.Equal(t, n.RecoveryDelay, s.Timing.RecoveryDelay.Duration())

	require.Equal(t, once.DefaultOptions("", "").TTL, s.KV.ClaimTTL.Duration())
}
