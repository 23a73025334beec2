package harness

import (
	"path/filepath"

	"laburnumrouter/test/fleet"
)

// Node is one process of a fleet.
type Node struct {
	*fleet.Node
	fleet    *Fleet
	settings func(*Node) string
	launched bool
}

// Start starts the process. On the first start it inherits its listeners; later it listens on the same addresses
// itself.
func (n *Node) Start() error {
	if n.launched {
		return n.Relaunch(n.fleet.Dir, n.fleet.bin)
	}
	n.launched = true
	return n.Launch(n.fleet.Dir, n.fleet.bin, n.settings(n))
}

// LogFile returns the path of the process's log.
func (n *Node) LogFile() string { return filepath.Join(n.fleet.Dir, n.Name+".log") }
