// Package jobcontrol composes a control instance that runs jobs on a platform's backend servers: the replicated
// log, its membership, the dispatcher, and the interfaces for operators, backend servers and entries.
package jobcontrol

import (
	"net/netip"
	"strconv"
	"time"

	"laburnumrouter/internal/process/settings"
)

// Settings configures laburnum-control where it runs jobs for a platform.
type Settings struct {
	settings.Node
	// DataDir is the folder of the journal and its snapshots.
	DataDir string `toml:"data_dir"`
	// Seeds are addresses at which some control instances serve operators, as IP:port. Their PeerPort is this instance's.
	Seeds []string `toml:"seeds"`
	// FirstStart is set while the whole system starts for the first time, with empty folders: the instances of Seeds then
	// form the log.
	FirstStart bool `toml:"first_start"`
	// Losses is the number of instances that may be lost at once; the log has twice as many voters and one.
	Losses int `toml:"losses"`
	// MemoryMB is what the process may use, in MiB; 0 sets no limit.
	MemoryMB int64 `toml:"memory_mb"`
	// Machines is the address of the platform's interface to machines, as IP:port; empty without one.
	Machines string `toml:"machines"`
	// MachineLease is how long a machine belongs to the holder that last ordered it. Default 3s.
	MachineLease settings.Duration `toml:"machine_lease"`
	// MetricsListen is the address for metrics, as IP:port; empty serves none.
	MetricsListen string `toml:"metrics_listen"`
}

// defaultMachineLease is lease_ms of the users' bounds.
const defaultMachineLease = 3 * time.Second

// DefaultSettings returns the defaults.
func DefaultSettings() *Settings {
	return &Settings{Node: settings.DefaultNode(), Losses: 1, MachineLease: settings.Duration(defaultMachineLease)}
}

// Check implements settings.Checker.
func (s *Settings) Check(f *settings.Faults) {
	s.Node.Check(f)
	if s.TLS != (settings.TLS{}) {
		f.Add("tls", "is not supported in this mode")
	}
	if s.DataDir == "" {
		f.Add("data_dir", "is needed")
	}
	if len(s.Seeds) == 0 {
		f.Add("seeds", "at least one control instance is needed")
	}
	for i, seed := range s.Seeds {
		settings.CheckAddress(f, settings.Element("seeds", i), seed)
	}
	if s.Losses < 0 {
		f.Add("losses", "must not be negative")
	}
	if s.MachineLease <= 0 {
		f.Add("machine_lease", "must be positive")
	}
	if s.MemoryMB < 0 {
		f.Add("memory_mb", "must not be negative")
	}
	for key, v := range map[string]string{"machines": s.Machines, "metrics_listen": s.MetricsListen} {
		if v != "" {
			settings.CheckAddress(f, key, v)
		}
	}
}

// PeerAddresses returns where the seeds listen for other processes of the system.
func PeerAddresses(seeds []string, peerListen string) []string {
	own, err := netip.ParseAddrPort(peerListen)
	if err != nil {
		return nil // Check has refused it
	}
	var list []string
	for _, seed := range seeds {
		if at, err := netip.ParseAddrPort(seed); err == nil {
			list = append(list, at.Addr().String()+":"+strconv.Itoa(int(own.Port())))
		}
	}
	return list
}
