// Package jobentry composes an entry instance that takes callers' jobs for a platform: it hands each call to the
// control instance that leads, and answers by itself at once where none can be reached.
package jobentry

import (
	"laburnumrouter/internal/process/settings"
)

// Settings configures laburnum-entry where it takes jobs for a platform.
type Settings struct {
	settings.Node
	// ReadyListen is the address at which the platform's balancer asks for readiness, as IP:port.
	ReadyListen string `toml:"ready_listen"`
	// Seeds are addresses at which some control instances serve operators, as IP:port. Their port for other
	// processes is that of PeerListen.
	Seeds []string `toml:"seeds"`
	// MemoryMB is what the process may use, in MiB; 0 sets no limit.
	MemoryMB int64 `toml:"memory_mb"`
	// MetricsListen is the address for metrics, as IP:port; empty serves none.
	MetricsListen string `toml:"metrics_listen"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() *Settings { return &Settings{Node: settings.DefaultNode()} }

// Check implements settings.Checker.
func (s *Settings) Check(f *settings.Faults) {
	s.Node.Check(f)
	if s.TLS != (settings.TLS{}) {
		f.Add("tls", "is not supported in this mode")
	}
	settings.CheckAddress(f, "ready_listen", s.ReadyListen)
	if len(s.Seeds) == 0 {
		f.Add("seeds", "at least one control instance is needed")
	}
	for i, seed := range s.Seeds {
		settings.CheckAddress(f, settings.Element("seeds", i), seed)
	}
	if s.MemoryMB < 0 {
		f.Add("memory_mb", "must not be negative")
	}
	if s.MetricsListen != "" {
		settings.CheckAddress(f, "metrics_listen", s.MetricsListen)
	}
}
