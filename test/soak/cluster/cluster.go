// Package cluster runs the programs of mode jobs and stand-ins of backend servers as processes on loopback addresses, with a
// relay in each link between them.
package cluster

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"laburnumrouter/test/soak/history"
	"laburnumrouter/test/soak/link"
)

// Error is the class of all errors of this package.
var Error = errs.Class("cluster")

// Names of the soak's own ends of links.
const (
	Operator = "operator"
	Callers  = "callers"
	unknown  = "unknown"
)

// Classes of processes.
const (
	Control = "control"
	Entry   = "entry"
	Worker  = "worker"
)

// Shape is how many processes of each class there are.
type Shape struct {
	Controls, Entries, Workers int
	// ControlLimits and EntryLimits bound each process of a class.
	ControlLimits, EntryLimits Limits
}

// Limits bounds a process. The zero value means MemoryMB, and the descriptors of the program that starts it.
type Limits struct {
	MemoryMB    int64
	Descriptors int
}

func (l Limits) memoryMB() int64 {
	if l.MemoryMB > 0 {
		return l.MemoryMB
	}
	return MemoryMB
}

// ShapeOf divides a number of processes among the classes.
func ShapeOf(size int) Shape {
	s := Shape{Controls: 3, Entries: max(2, size/8)}
	if size >= 20 {
		s.Controls = 5
	}
	s.Workers = max(3, size-s.Controls-s.Entries)
	return s
}

// Losses is how many control instances may lose their disk.
func (s Shape) Losses() int { return (s.Controls - 1) / 2 }

// Settings of the fleet that the checker needs too.
const (
	WorkerCapacity = 4000 // thousandths of a core
	MemoryMB       = 280
	dataCentres    = 3
)

// Pools are the services of the workers. Workers of the second one don't guard their capacity.
var Pools = []string{"guarded", "unguarded"}

// Cluster is the fleet of one run of the soak.
type Cluster struct {
	Controls, Entries, Workers []*Process
	Network                    *link.Network
	// Public lists the addresses of the relays by which operators reach the control instances, Frontends those of the entries.
	Public, Frontends []string

	complete       chan struct{} // closed once the lists of processes don't change any more
	dir, bin, soak string
	plant          string
	out            *history.Writer
	prefix         string          // of the loopback addresses
	reserved       net.Listener    // keeps other runs off the prefix
	given          map[string]bool // addresses that freePort has returned
	relays         []*link.Relay
	peerPort       int
	listens        []string // at which the control instances listen for operators and workers
}

// New prepares a fleet. Files go to dir; the programs are in bin. The workers run as soak, a program with a subcommand
// worker.
func New(dir, bin, soak, plant string, shape Shape, out *history.Writer) (*Cluster, error) {
	c := &Cluster{
		Network: link.NewNetwork(), complete: make(chan struct{}), dir: dir, bin: bin, soak: soak, plant: plant, out: out,
		given: make(map[string]bool),
	}
	defer close(c.complete)
	if err := c.reservePrefix(); err != nil {
		return nil, Error.Wrap(err)
	}
	return c, Error.Wrap(errs.Combine(c.addControls(shape), c.addEntries(shape), c.addWorkers(shape)))
}

// reservePrefix finds a loopback network of 256 addresses that no other run uses.
func (c *Cluster) reservePrefix() error {
	const tries, guardPort = 64, 40000
	for i := range tries {
		n := os.Getpid() + i*257
		c.prefix = fmt.Sprintf("127.%d.%d.", 64+n>>8&63, n&255)
		l, err := net.Listen("tcp", fmt.Sprintf("%s254:%d", c.prefix, guardPort))
		if err == nil {
			c.reserved = l
			return nil
		}
	}
	return Error.New("no loopback network is free")
}

func (c *Cluster) host(i int) string { return c.prefix + strconv.Itoa(i) }

// freePort returns a port that the kernel has chosen at a host of this fleet. Relays with a port that the kernel chooses are at
// another host, so that none takes it while its process doesn't run.
func (c *Cluster) freePort(host string) (int, error) {
	for {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return 0, err
		}
		address := l.Addr().String()
		if err := l.Close(); err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		if !c.given[address] && port != c.peerPort { // relays use peerPort at all hosts
			c.given[address] = true
			return port, nil
		}
	}
}

// address returns a free address at a host.
func (c *Cluster) address(host string) (string, error) {
	port, err := c.freePort(host)
	return fmt.Sprintf("%s:%d", host, port), err
}

// relayAtAnyPort adds a relay at a port that the kernel chooses.
func (c *Cluster) relayAtAnyPort(to, target string, from func(net.Conn) string) (string, error) {
	return c.relay(c.host(relayHost)+":0", to, target, from)
}

// relay adds a relay at an address.
func (c *Cluster) relay(address, to, target string, from func(net.Conn) string) (string, error) {
	r, err := c.Network.Listen(address, to, target, from)
	if err != nil {
		return "", err
	}
	c.relays = append(c.relays, r)
	return r.Address(), nil
}

// from returns a function that gives a name, for a relay that only one process uses.
func from(name string) func(net.Conn) string { return func(net.Conn) string { return name } }

// fromAny returns a function that names the process of the lists that made a connection.
func (c *Cluster) fromAny(lists ...*[]*Process) func(net.Conn) string {
	return func(conn net.Conn) string {
		<-c.complete
		var names []string
		var pids []int
		for _, list := range lists {
			for _, p := range *list {
				if pid := p.PID(); pid != 0 {
					names, pids = append(names, p.Name), append(pids, pid)
				}
			}
		}
		if i := link.Owner(conn, pids); i >= 0 {
			return names[i]
		}
		return unknown
	}
}

// All returns all processes.
func (c *Cluster) All() []*Process {
	return append(append(append([]*Process(nil), c.Controls...), c.Entries...), c.Workers...)
}

// Find returns a process by its name.
func (c *Cluster) Find(name string) *Process {
	for _, p := range c.All() {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// Start starts all processes that don't run.
func (c *Cluster) Start() error {
	for _, p := range c.All() {
		if err := p.Start(); err != nil {
			return Error.New("%s: %w", p.Name, err)
		}
	}
	return nil
}

// Close releases the addresses.
func (c *Cluster) Close() {
	for _, r := range c.relays {
		r.Close()
	}
	c.Network.Close()
	_ = c.reserved.Close()
}

// HistoryFiles returns the histories that the workers have written.
func (c *Cluster) HistoryFiles() ([]string, error) {
	return filepath.Glob(filepath.Join(c.dir, "worker-*.jsonl"))
}

func residentPages(statm string) int64 {
	fields := strings.Fields(statm)
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages
}
