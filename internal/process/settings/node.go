package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"time"
)

// Duration is a time span written as a string such as "250ms" or "3s".
type Duration time.Duration

// UnmarshalText parses a Go duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText writes a Go duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Node is the part of the settings that every long-running program has.
type Node struct {
	// Name identifies the process within the fleet.
	Name string `toml:"name"`
	// DataCentre is where the process runs.
	DataCentre string `toml:"data_centre"`
	// Listen is the address for callers, backend servers and operators, as IP:port.
	Listen string `toml:"listen"`
	// PeerListen is the address for the system's own processes, as IP:port.
	PeerListen string `toml:"peer_listen"`
	// StopTimeout limits the duration of a graceful stop. Default 30s.
	StopTimeout Duration `toml:"stop_timeout"`
	// MemoryMB is the memory that the process may use, in MiB; 0 means no limit. What clients may hold is a part of it, or, if there
	// is no limit, of a quarter of the machine's memory but at most 1 GiB.
	MemoryMB int64 `toml:"memory_mb"`
	// MaxFDs is the number of descriptors that the process may open; 0 means the limit of the operating system (RLIMIT_NOFILE).
	MaxFDs int `toml:"max_fds"`
	// ReceiveTimeout is the time in which a client's request must be received; a large body gets a second more for each 64 KiB.
	// Default 15s.
	ReceiveTimeout Duration `toml:"receive_timeout"`
	// Log configures the level and the destination of log lines.
	Log Log `toml:"log"`
	// TLS configures TLS for the listeners and for connections to other processes.
	TLS TLS `toml:"tls"`
}

// Log configures logging.
type Log struct {
	// Level is trace, debug, info, warn or error. Default info.
	Level string `toml:"level"`
	// Stdout sends log lines to standard output instead of standard error. Default false.
	Stdout bool `toml:"stdout"`
}

// TLS holds the paths of PEM files. TLS is off if Cert is empty.
type TLS struct {
	// Cert and Key identify this process to peers, callers and operators.
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	// PeerCA is the authority that signs the certificates of the system's own processes. Each certificate must
	// contain the IP address on which its process listens.
	PeerCA string `toml:"peer_ca"`
	// OperatorCA is the authority that signs the certificates of operators, whose common name is the operator's name.
	// Only control instances use it.
	OperatorCA string `toml:"operator_ca"`
}

// Peer is another process of the system.
type Peer struct {
	Name       string `toml:"name"`
	DataCentre string `toml:"data_centre"`
	// Address is the peer's PeerListen address, as IP:port.
	Address string `toml:"address"`
}

// DefaultNode returns the defaults of Node.
func DefaultNode() Node {
	return Node{
		StopTimeout:    Duration(30 * time.Second),
		ReceiveTimeout: Duration(15 * time.Second),
		Log:            Log{Level: "info"},
	}
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// CheckName reports a fault unless v is a lower-case name of letters, digits and hyphens.
func CheckName(f *Faults, key, v string) {
	if !namePattern.MatchString(v) {
		f.Add(key, "%q is not a name of 1 to 63 lower-case letters, digits and hyphens", v)
	}
}

// CheckAddress reports a fault unless v is an IP address with a port.
func CheckAddress(f *Faults, key, v string) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		f.Add(key, "%q is not an IP address with a port; host names are not allowed", v)
	}
}

// CheckDigest reports a fault unless v is a SHA-256 digest in hexadecimal.
func CheckDigest(f *Faults, key, v string) {
	sum, err := hex.DecodeString(v)
	if err != nil || len(sum) != sha256.Size {
		f.Add(key, "must be a SHA-256 of %d hexadecimal digits (laburnumctl key hash makes one)", hex.EncodedLen(sha256.Size))
	}
}

// CheckFile reports a fault if path is given but can't be read.
func CheckFile(f *Faults, key, path string) {
	if path == "" {
		return
	}
	file, err := os.Open(path)
	if err != nil {
		f.Add(key, "%v", err)
		return
	}
	_ = file.Close()
}

// CheckPeers reports the faults of the peer list under a key.
func CheckPeers(f *Faults, key string, peers []Peer) {
	seen := make(map[string]bool)
	for i, p := range peers {
		element := Element(key, i)
		CheckName(f, element+".name", p.Name)
		CheckName(f, element+".data_centre", p.DataCentre)
		CheckAddress(f, element+".address", p.Address)
		if seen[p.Name] {
			f.Add(element+".name", "peer %q is listed twice", p.Name)
		}
		seen[p.Name] = true
	}
}

// Element returns the key of element i, counted from 0, of an array of tables.
func Element(key string, i int) string { return fmt.Sprintf("%s[%d]", key, i) }

// Check reports the faults of the common settings.
func (n *Node) Check(f *Faults) {
	CheckName(f, "name", n.Name)
	CheckName(f, "data_centre", n.DataCentre)
	CheckAddress(f, "listen", n.Listen)
	CheckAddress(f, "peer_listen", n.PeerListen)
	if n.StopTimeout <= 0 {
		f.Add("stop_timeout", "must be positive")
	}
	if n.MemoryMB < 0 {
		f.Add("memory_mb", "must not be negative")
	}
	if n.MaxFDs < 0 {
		f.Add("max_fds", "must not be negative")
	}
	if n.ReceiveTimeout <= 0 {
		f.Add("receive_timeout", "must be positive")
	}
	switch n.Log.Level {
	case "trace", "debug", "info", "warn", "error":
	default:
		f.Add("log.level", "%q is not trace, debug, info, warn or error", n.Log.Level)
	}
	n.TLS.check(f)
}

func (t *TLS) check(f *Faults) {
	if (t.Cert == "") != (t.Key == "") {
		f.Add("tls.cert", "cert and key must be set together")
	}
	if t.PeerCA != "" && t.Cert == "" {
		f.Add("tls.peer_ca", "needs cert and key")
	}
	if t.Cert != "" && t.PeerCA == "" {
		f.Add("tls.peer_ca", "is needed with cert and key: processes authenticate each other")
	}
	if t.OperatorCA != "" && t.Cert == "" {
		f.Add("tls.operator_ca", "needs cert and key")
	}
	for _, file := range []struct{ key, path string }{
		{"tls.cert", t.Cert}, {"tls.key", t.Key}, {"tls.peer_ca", t.PeerCA}, {"tls.operator_ca", t.OperatorCA},
	} {
		CheckFile(f, file.key, file.path)
	}
}
