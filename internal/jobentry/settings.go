// Package jobentry assembles an entry instance that accepts callers' jobs for a platform. It forwards each call to the
// control instance that leads, and answers at once by itself if no leader can be reached.
package jobentry

import (
	"laburnumrouter/internal/process/settings"
)

// Settings configures laburnum-entry in the mode in which it accepts jobs for a platform.
type Settings struct {
	settings.Node
	// ReadyListen is the address at which the platform's load balancer checks readiness, as IP:port.
	ReadyListen string `toml:"ready_listen"`
	// Seeds are the public addresses (Listen) of some control instances, as IP:port. Their peer listeners are assumed to use
	// the same port as this instance's PeerListen.
	Seeds []string `toml:"seeds"`
	// MetricsListen is the address at which metrics are served, as IP:port; empty serves none.
	MetricsListen string `toml:"metrics_listen"`
}

// DefaultSettings returns settings with all defaults set.
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
	if s.MetricsListen != "" {
		settings.CheckAddress(f, "metrics_listen", s.MetricsListen)
	}
}
