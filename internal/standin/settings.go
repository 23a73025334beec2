package standin

import (
	"time"

	"laburnumrouter/internal/process/settings"
)

// Settings configures laburnum-standin.
type Settings struct {
	settings.Node
	// Entries lists the public addresses of the entry instances that servers announce themselves to, as IP:port.
	Entries []string `toml:"entries"`
	// BackendKey is the secret that authenticates the servers' announcements, read from a file.
	BackendKey settings.Secret `toml:"backend_key_file"`
	// Servers lists the backend servers that this process simulates.
	Servers []ServerSettings `toml:"server"`
	// RebootTime is how long a server is down when the platform is asked to reboot it. Default 1s.
	RebootTime settings.Duration `toml:"reboot_time"`
}

// ServerSettings configures one stand-in backend server.
type ServerSettings struct {
	Name     string   `toml:"name"`
	Rack     string   `toml:"rack"`
	Services []string `toml:"services"`
	// Slots is the number of concurrent requests that the server announces room for.
	Slots uint32 `toml:"slots"`
	// MilliCPU, MemoryBytes and Accelerators are the resources that the server offers to tasks. If MilliCPU is 0, it
	// announces none and gets no tasks.
	MilliCPU     uint32 `toml:"milli_cpu"`
	MemoryBytes  uint64 `toml:"memory_bytes"`
	Accelerators uint32 `toml:"accelerators"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() *Settings {
	return &Settings{Node: settings.DefaultNode(), RebootTime: settings.Duration(time.Second)}
}

// Check implements settings.Checker.
func (s *Settings) Check(f *settings.Faults) {
	s.Node.Check(f)
	s.BackendKey.Load(f, "backend_key_file")
	for _, a := range s.Entries {
		settings.CheckAddress(f, "entries", a)
	}
	if len(s.Entries) == 0 {
		f.Add("entries", "at least one entry instance is needed")
	}
	if len(s.Servers) == 0 {
		f.Add("server", "at least one server is needed")
	}
	for i, server := range s.Servers {
		element := settings.Element("server", i)
		settings.CheckName(f, element+".name", server.Name)
		settings.CheckName(f, element+".rack", server.Rack)
		if server.Slots == 0 || len(server.Services) == 0 {
			f.Add(element+".slots", "server %s needs slots and services", server.Name)
		}
	}
}
