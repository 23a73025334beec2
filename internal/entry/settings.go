package entry

import (
	"laburnumrouter/internal/process/operators"
	"laburnumrouter/internal/process/settings"
)

// Settings configures laburnum-entry.
type Settings struct {
	settings.Node
	// Controls lists the control instances.
	Controls []settings.Peer `toml:"control"`
	// Entries lists the other entry instances of all data centres.
	Entries []settings.Peer `toml:"entry"`
	// BackendKeySHA256 is the digest of the key with which backend servers announce themselves, in hex.
	BackendKeySHA256 string `toml:"backend_key_sha256"`
	// MaxBodyBytes limits the body of a request with an Idempotency-Key, which is held in memory. Default 1 MiB.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// Operators lists the operators who may withdraw workspaces' keys at this entry, each with the operator's own key. If empty,
	// only control instances accept withdrawals.
	Operators []operators.Settings `toml:"operator"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() *Settings {
	return &Settings{Node: settings.DefaultNode(), MaxBodyBytes: 1 << 20}
}

// Check implements settings.Checker.
func (s *Settings) Check(f *settings.Faults) {
	s.Node.Check(f)
	settings.CheckPeers(f, "control", s.Controls)
	settings.CheckPeers(f, "entry", s.Entries)
	if len(s.Controls) == 0 {
		f.Add("control", "at least one control instance is needed")
	}
	if s.MaxBodyBytes <= 0 {
		f.Add("max_body_bytes", "must be positive")
	}
	operators.Check(f, s.Operators, false)
	settings.CheckDigest(f, "backend_key_sha256", s.BackendKeySHA256)
}
