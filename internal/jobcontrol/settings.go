// Package jobcontrol assembles a control instance that runs jobs on a platform's backend servers: the replicated
// log, its membership, the dispatcher, and the interfaces for operators, backend servers and entry instances.
package jobcontrol

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"laburnumrouter/internal/process/settings"
)

// Settings configures laburnum-control in the mode in which it runs jobs for a platform.
type Settings struct {
	settings.Node
	// PeerBind is the address at which the instance listens for other processes if they reach PeerListen through address
	// translation or a proxy, as IP:port; empty means PeerListen.
	PeerBind string `toml:"peer_bind"`
	// DataDir is the folder for the journal and its snapshots.
	DataDir string `toml:"data_dir"`
	// Seeds are the public addresses (Listen) of some control instances, as IP:port. Their peer listeners are assumed to use
	// the same port as this instance's PeerListen.
	Seeds []string `toml:"seeds"`
	// FirstStart is set when the whole system starts for the first time, with empty data folders. The instances in Seeds
	// are then the first voters of the log.
	FirstStart bool `toml:"first_start"`
	// Losses is the number of instances that may fail at the same time. The log has 2*Losses+1 voters.
	Losses int `toml:"losses"`
	// DiskMB is the space that the process may use in DataDir, in MiB; 0 means the value of DiskVariable, or no limit if that isn't set.
	DiskMB int64 `toml:"disk_mb"`
	// DataCentres are the names of all data centres of the deployment, for the check of orders that evacuate one; empty if only
	// those of known backend servers are to be checked.
	DataCentres []string `toml:"data_centres"`
	// ColdOvershoot and ColdSlack bound the starts on a backend server that is slow after its start: ColdOvershoot times what
	// the configuration says that it carries per second, with a burst of ColdSlack. Defaults 1.5 and 5.
	ColdOvershoot float64 `toml:"cold_overshoot"`
	ColdSlack     float64 `toml:"cold_slack"`
	// MachinesAddress is the address of the platform's machine interface, as IP:port; empty if there is none.
	MachinesAddress string `toml:"machines"`
	// MachineLease is how long a machine stays reserved for the leader that last sent it an order. Default 3s.
	MachineLease settings.Duration `toml:"machine_lease"`
	// MetricsListen is the address at which metrics are served, as IP:port; empty serves none.
	MetricsListen string `toml:"metrics_listen"`
	// OrderForwarding is auto or off. With auto, a busy leader sends its calls to backend servers through other control
	// instances. Default auto.
	OrderForwarding string `toml:"order_forwarding"`
}

// DiskVariable is the environment variable in which a platform gives the limit of the disk, in MiB.
const DiskVariable = "LABURNUM_DISK_MB"

// diskBytes returns the limit of the disk in bytes; 0 means that there is none. environment is the value of DiskVariable.
func (s *Settings) diskBytes(environment string) (int64, error) {
	if s.DiskMB > 0 || environment == "" {
		return s.DiskMB << 20, nil
	}
	mb, err := strconv.ParseInt(environment, 10, 32)
	if err != nil || mb < 0 {
		return 0, Error.New("%s: %q is no number of MiB", DiskVariable, environment)
	}
	return mb << 20, nil
}

// Values of Settings.OrderForwarding.
const (
	ForwardingAuto = "auto"
	ForwardingOff  = "off"
)

// defaultMachineLease equals lease_ms, a limit in the users' specification.
const defaultMachineLease = 3 * time.Second

// DefaultSettings returns settings with all defaults set.
func DefaultSettings() *Settings {
	return &Settings{
		Node: settings.DefaultNode(), Losses: 1, MachineLease: settings.Duration(defaultMachineLease), OrderForwarding: ForwardingAuto,
		ColdOvershoot: 1.5, ColdSlack: 5,
	}
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
	for i, name := range s.DataCentres {
		settings.CheckName(f, settings.Element("data_centres", i), name)
		if slices.Contains(s.DataCentres[:i], name) {
			f.Add(settings.Element("data_centres", i), "%q is listed twice", name)
		}
	}
	if len(s.DataCentres) > 0 && !slices.Contains(s.DataCentres, s.DataCentre) {
		f.Add("data_centres", "lacks %q, the data_centre of this instance", s.DataCentre)
	}
	if s.Losses < 0 {
		f.Add("losses", "must not be negative")
	}
	if s.ColdOvershoot <= 0 {
		f.Add("cold_overshoot", "must be positive")
	}
	if s.ColdSlack < 0 {
		f.Add("cold_slack", "must not be negative")
	}
	if s.MachineLease <= 0 {
		f.Add("machine_lease", "must be positive")
	}
	if s.OrderForwarding != ForwardingAuto && s.OrderForwarding != ForwardingOff {
		f.Add("order_forwarding", "must be auto or off")
	}
	if s.DiskMB < 0 {
		f.Add("disk_mb", "must not be negative")
	}
	for key, v := range map[string]string{"machines": s.MachinesAddress, "metrics_listen": s.MetricsListen, "peer_bind": s.PeerBind} {
		if v != "" {
			settings.CheckAddress(f, key, v)
		}
	}
}

// PeerAddresses returns the addresses at which the seeds listen for other processes: the IP of each seed with the port of
// peerListen.
func PeerAddresses(seeds []string, peerListen string) []string {
	own, err := netip.ParseAddrPort(peerListen)
	if err != nil {
		return nil // Check reports the invalid address
	}
	var list []string
	for _, seed := range seeds {
		if seedAddress, err := netip.ParseAddrPort(seed); err == nil {
			list = append(list, seedAddress.Addr().String()+":"+strconv.Itoa(int(own.Port())))
		}
	}
	return list
}
