package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"laburnumrouter/test/soak/link"
)

// Shape of the fleet: a small deployment with four control instances, of which three vote, and two entry instances.
const (
	controlCount = 4
	entryCount   = 2
	memoryMB     = 280
)

// Ports, the same on all hosts of the fleet; the kernel chooses them.
var controlPort, frontPort, readyPort, peerPort, platformPort, minionPort, controlMetricsPort, entryMetricsPort int

// bindPort is where control instances listen for peers behind a relay.
var bindPort int

// choosePorts finds free ports.
func choosePorts(host string) error {
	for _, port := range []*int{&controlPort, &frontPort, &readyPort, &peerPort, &bindPort, &platformPort, &minionPort, &controlMetricsPort, &entryMetricsPort} {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return err
		}
		defer l.Close() // at the end, so that no port is chosen twice
		*port = l.Addr().(*net.TCPAddr).Port
	}
	return nil
}

// process is one of the project's programs.
type process struct {
	name string
	args []string
	dir  string
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts the program with the command of the deploy file.
func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(os.Environ(), "LABURNUM_DISK_MB=128")
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait() // how it ended doesn't matter
		close(done)
	}(p.cmd, p.done)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s) // fails only if the process has ended
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	if p.done != nil {
		<-p.done
	}
}

// cluster is the whole fleet: the project's programs as processes, and stand-ins of minions and of the platform in this process.
type cluster struct {
	dir, prefix string
	rec         *recorder
	controls    []*process
	entries     []*process
	platform    *platform
	guard       net.Listener
	configText  string
	// network relays the connections between the programs, and those from control instances to minions. Names are those of processes
	// and machines.
	network *link.Network
	relays  []*link.Relay

	gangMu sync.Mutex
	gangs  map[string]*gang // by step and run
}

// owner returns the name of the process that has made a connection.
func (c *cluster) owner(conn net.Conn) string {
	var names []string
	var pids []int
	for _, p := range append(append([]*process(nil), c.controls...), c.entries...) {
		if p.cmd != nil && p.cmd.Process != nil {
			names, pids = append(names, p.name), append(pids, p.cmd.Process.Pid)
		}
	}
	if i := link.Owner(conn, pids); i >= 0 {
		return names[i]
	}
	return "unknown"
}

// relay adds a relay to a process or machine.
func (c *cluster) relay(address, to, target string) error {
	r, err := c.network.Listen(address, to, target, c.owner)
	if err == nil {
		c.relays = append(c.relays, r)
	}
	return err
}

// leader returns the number of the control instance that leads, counted from 0, or -1.
func (c *cluster) leader(ctx context.Context) int {
	for i := range controlCount {
		var status struct{ Leads bool }
		code, data := call(ctx, time.Second, "GET", fmt.Sprintf("http://%s:%d/jobs/leader", c.host(1+i), bindPort), nil, nil)
		if code == 200 && json.Unmarshal(data, &status) == nil && status.Leads {
			return i
		}
	}
	return -1
}

func (c *cluster) host(i int) string { return fmt.Sprintf("%s%d", c.prefix, i) }

// control and front return the addresses of instances, counted from 0.
func (c *cluster) control(i int) string { return fmt.Sprintf("%s:%d", c.host(1+i), controlPort) }
func (c *cluster) front(i int) string   { return fmt.Sprintf("%s:%d", c.host(10+i), frontPort) }

// newCluster prepares a fleet on a loopback network of its own.
func newCluster(rec *recorder, bin string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "lab-2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, rec: rec, network: link.NewNetwork()}
	for i := range 64 {
		n := os.Getpid() + i*257
		c.prefix = fmt.Sprintf("127.%d.%d.", 64+n>>8&63, n&255)
		if c.guard, err = net.Listen("tcp", c.host(254)+":40000"); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	if err := choosePorts(c.host(254)); err != nil {
		return nil, err
	}
	c.platform = newPlatform(c)
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%q", c.control(i)))
	}
	seedList := "[" + strings.Join(seeds, ",") + "]"
	for i := range controlCount {
		name := fmt.Sprintf("control-%d", i+1)
		if err := os.MkdirAll(filepath.Join(dir, name), 0o700); err != nil {
			return nil, err
		}
		text := fmt.Sprintf(`name = %q
data_centre = "zone-%d"
data_centres = ["zone-1","zone-2","zone-3","zone-4"]
listen = %q
peer_listen = "%s:%d"
peer_bind = "%s:%d"
metrics_listen = "%s:%d"
data_dir = %q
seeds = %s
first_start = true
losses = 1
memory_mb = %d
max_fds = 4096
machines = "%s:%d"
machine_lease = "3000ms"
[log]
level = "info"
stdout = true
`, name, i+1, c.control(i), c.host(1+i), peerPort, c.host(1+i), bindPort, c.host(1+i), controlMetricsPort, filepath.Join(dir, name), seedList, memoryMB, c.host(200), platformPort)
		p, err := c.program(bin, "laburnum-control", name, text)
		if err != nil {
			return nil, err
		}
		c.controls = append(c.controls, p)
		if err := c.relay(fmt.Sprintf("%s:%d", c.host(1+i), peerPort), name, fmt.Sprintf("%s:%d", c.host(1+i), bindPort)); err != nil {
			return nil, err
		}
	}
	for i := range entryCount {
		name := fmt.Sprintf("entry-%d", i+1)
		text := fmt.Sprintf(`name = %q
data_centre = "zone-%d"
listen = %q
ready_listen = "%s:%d"
peer_listen = "%s:%d"
metrics_listen = "%s:%d"
seeds = %s
memory_mb = %d
max_fds = 4100
[log]
level = "info"
stdout = true
`, name, i+1, c.front(i), c.host(10+i), readyPort, c.host(10+i), peerPort, c.host(10+i), entryMetricsPort, seedList, memoryMB)
		p, err := c.program(bin, "laburnum-entry", name, text)
		if err != nil {
			return nil, err
		}
		c.entries = append(c.entries, p)
	}
	return c, nil
}

func (c *cluster) program(bin, program, name, text string) (*process, error) {
	path := filepath.Join(c.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return &process{name: name, dir: c.dir, args: []string{filepath.Join(bin, program), "jobs", "--settings", path}}, nil
}

// start starts the platform, the minions and the programs, and sends the configuration until it is acknowledged.
func (c *cluster) start(ctx context.Context) error {
	if err := c.platform.serve(); err != nil {
		return err
	}
	for _, p := range append(append([]*process(nil), c.controls...), c.entries...) {
		if err := p.start(); err != nil {
			return err
		}
		c.rec.add("process %s started", p.name)
	}
	// All later starts are no first starts.
	for _, p := range c.controls {
		path := filepath.Join(c.dir, p.name+".toml")
		defer func() {
			if text, err := os.ReadFile(path); err == nil {
				_ = os.WriteFile(path, []byte(strings.Replace(string(text), "first_start = true", "first_start = false", 1)), 0o600)
			}
		}()
	}
	for {
		for i := range controlCount {
			if c.putConfig(ctx, i, c.configText) == 200 {
				c.rec.add("configuration acknowledged")
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func (c *cluster) putConfig(ctx context.Context, i int, text string) int {
	status, _ := call(ctx, time.Second, "PUT", "http://"+c.control(i)+"/laburnumrouter/config", nil, []byte(text))
	return status
}

// stop ends everything that was started.
func (c *cluster) stop(keep bool) {
	c.platform.close()
	for _, r := range c.relays {
		r.Close()
	}
	c.network.Close()
	var group sync.WaitGroup
	for _, p := range append(append([]*process(nil), c.controls...), c.entries...) {
		group.Go(p.kill)
	}
	group.Wait()
	_ = c.guard.Close()
	if !keep {
		_ = os.RemoveAll(c.dir)
	}
}
