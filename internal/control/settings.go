package control

import (
	"net/netip"

	"laburnumrouter/internal/process/operators"
	"laburnumrouter/internal/process/settings"
	"laburnumrouter/internal/version/capacity"
	"laburnumrouter/internal/version/wave"
)

// Settings configures laburnum-control.
type Settings struct {
	settings.Node
	// DataDir is the directory of the journal and its snapshots.
	DataDir string `toml:"data_dir"`
	// Controls lists the other control instances.
	Controls []settings.Peer `toml:"control"`
	// Join is set on an instance that an operator adds to an existing control log. Without it, an instance
	// with an empty data folder forms a new log with the instances of Controls. Default false.
	Join bool `toml:"join"`
	// Operators lists who may use the operator service. If it is empty, everyone who can reach the listener may.
	Operators []operators.Settings `toml:"operator"`
	// Platforms lists the endpoint of the platform in each data centre.
	Platforms []PlatformSettings `toml:"platform"`
	// Wave configures maintenance waves.
	Wave WaveSettings `toml:"wave"`
	// Capacity configures the moves of instances between pools.
	Capacity CapacitySettings `toml:"capacity"`
}

// CapacitySettings configures the moves of instances between pools.
type CapacitySettings struct {
	// Weighting selects the planner's priorities: kljuc (fast roll-outs and the workspaces' shares) or drenq (little idle
	// capacity and few moves). Default kljuc.
	Weighting capacity.PolicyName `toml:"weighting"`
}

func (c *CapacitySettings) check(f *settings.Faults) {
	if _, ok := capacity.PolicyOf(c.Weighting); !ok {
		f.Add("capacity.weighting", "%q is not kljuc or drenq", c.Weighting)
	}
}

// PlatformSettings is the platform's endpoint in a data centre.
type PlatformSettings struct {
	DataCentre string `toml:"data_centre"`
	// Address is the platform's HTTP address, as IP:port.
	Address string `toml:"address"`
	// Key is the bearer key for the platform, read from the file that the setting names.
	Key settings.Secret `toml:"key_file"`
}

// WaveSettings configures maintenance waves.
type WaveSettings struct {
	// HealthyFor is how long a rebooted instance must be up before its reboot counts as completed. Default 30s.
	HealthyFor settings.Duration `toml:"healthy_for"`
	// RebootBound is how long a reboot may take before the instance counts as failed. Default 10m.
	RebootBound settings.Duration `toml:"reboot_bound"`
	// QuietFor is how long there must be no failure before a wave that was paused by failures resumes. Default 5m.
	QuietFor settings.Duration `toml:"quiet_for"`
	// PauseFailures is the number of failures within QuietFor that pauses a wave. Default 2.
	PauseFailures int `toml:"pause_failures"`
}

func defaultWave() WaveSettings {
	p := wave.DefaultPolicy()
	return WaveSettings{
		HealthyFor:    settings.Duration(p.HealthyFor),
		RebootBound:   settings.Duration(p.RebootBound),
		QuietFor:      settings.Duration(p.QuietFor),
		PauseFailures: p.PauseFailures,
	}
}

func (w *WaveSettings) policy() wave.Policy {
	return wave.Policy{
		HealthyFor:    w.HealthyFor.Std(),
		RebootBound:   w.RebootBound.Std(),
		QuietFor:      w.QuietFor.Std(),
		PauseFailures: w.PauseFailures,
	}
}

func (w *WaveSettings) check(f *settings.Faults) {
	for key, d := range map[string]settings.Duration{
		"wave.healthy_for": w.HealthyFor, "wave.reboot_bound": w.RebootBound, "wave.quiet_for": w.QuietFor,
	} {
		if d <= 0 {
			f.Add(key, "must be positive")
		}
	}
	if w.PauseFailures < 1 {
		f.Add("wave.pause_failures", "must be at least 1")
	}
}

func (s *Settings) checkPlatforms(f *settings.Faults) {
	seen := make(map[string]bool)
	for i := range s.Platforms {
		p := &s.Platforms[i]
		element := settings.Element("platform", i)
		settings.CheckName(f, element+".data_centre", p.DataCentre)
		settings.CheckAddress(f, element+".address", p.Address)
		p.Key.Load(f, element+".key_file")
		if seen[p.DataCentre] {
			f.Add(element+".data_centre", "data centre %q has two platforms", p.DataCentre)
		}
		seen[p.DataCentre] = true
	}
}

// DefaultSettings returns the defaults.
func DefaultSettings() *Settings {
	return &Settings{Node: settings.DefaultNode(), Wave: defaultWave(), Capacity: CapacitySettings{Weighting: capacity.Responsive}}
}

// Check implements settings.Checker.
func (s *Settings) Check(f *settings.Faults) {
	s.Node.Check(f)
	settings.CheckPeers(f, "control", s.Controls)
	if a, err := netip.ParseAddrPort(s.PeerListen); err == nil && a.Addr().IsUnspecified() {
		f.Add("peer_listen", "%q must be an address at which the other instances reach this one: they learn it from the control log", s.PeerListen)
	}
	if s.DataDir == "" {
		f.Add("data_dir", "is needed")
	}
	operators.Check(f, s.Operators, s.TLS.OperatorCA != "")
	s.checkPlatforms(f)
	s.Wave.check(f)
	s.Capacity.check(f)
}
