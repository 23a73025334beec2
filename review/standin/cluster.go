package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// process is one of the project's programs on one loopback address.
type process struct {
	name, role, ip string
	settings       string
	dataDir        string
	command        []string
	cmd            *exec.Cmd
	exited         chan struct{}
}

// cluster is a small deployment: control and entry processes, each on a loopback address of its own, with the same ports.
type cluster struct {
	rec      *record
	root     string
	temp     string
	controls []*process
	entries  []*process
	// Ports of the public control interface, the callers' interface, the readiness checks and the processes among themselves.
	controlPort, frontPort, readyPort, peerPort int
	machinesAddress                             string
}

// freePorts returns n ports that are free on all given addresses.
func freePorts(n int, ips []string) ([]int, error) {
	var ports []int
	for len(ports) < n {
		l, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return nil, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		free := true
		for _, ip := range ips[1:] {
			other, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = other.Close()
		}
		_ = l.Close()
		if free {
			ports = append(ports, port)
		}
	}
	return ports, nil
}

// runCommand returns the words of the command of a role in the deploy file.
func runCommand(root, role string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	_, section, ok := strings.Cut(string(data), "[roles."+role+"]")
	if !ok {
		return nil, fmt.Errorf("the deploy file has no role %s", role)
	}
	m := regexp.MustCompile(`(?m)^run *= *"([^"]*)"`).FindStringSubmatch(section)
	if m == nil {
		return nil, fmt.Errorf("role %s has no command", role)
	}
	return strings.Fields(m[1]), nil
}

// startCluster writes settings from the templates of the deploy file and starts the processes.
func startCluster(rec *record, root string, controls, entries int, machinesAddress string) (*cluster, error) {
	c := &cluster{rec: rec, root: root, machinesAddress: machinesAddress}
	var err error
	if c.temp, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	var ips []string
	for i := range controls {
		c.controls = append(c.controls, &process{name: fmt.Sprintf("core-z%d-1", i+1), role: "control", ip: fmt.Sprintf("127.0.71.%d", 11+i)})
		ips = append(ips, c.controls[i].ip)
	}
	for i := range entries {
		c.entries = append(c.entries, &process{name: fmt.Sprintf("edge-z%d-1", i+1), role: "entry", ip: fmt.Sprintf("127.0.71.%d", 31+i)})
		ips = append(ips, c.entries[i].ip)
	}
	ports, err := freePorts(4, ips)
	if err != nil {
		return nil, err
	}
	c.controlPort, c.frontPort, c.readyPort, c.peerPort = ports[0], ports[1], ports[2], ports[3]
	for i, p := range append(append([]*process{}, c.controls...), c.entries...) {
		zone := fmt.Sprintf("z%d", i%controls+1)
		if err := c.configure(p, zone, true); err != nil {
			return nil, err
		}
		if err := c.start(p); err != nil {
			return nil, err
		}
		_ = zone
	}
	return c, nil
}

// seeds returns the public addresses of up to three control processes.
func (c *cluster) seeds() []string {
	var list []string
	for _, p := range c.controls[:min(3, len(c.controls))] {
		list = append(list, c.controlAddress(p))
	}
	return list
}

func (c *cluster) controlAddress(p *process) string { return fmt.Sprintf("%s:%d", p.ip, c.controlPort) }
func (c *cluster) frontAddress(p *process) string   { return fmt.Sprintf("%s:%d", p.ip, c.frontPort) }

// controlAddresses returns the public addresses of all control processes.
func (c *cluster) controlAddresses() []string {
	var list []string
	for _, p := range c.controls {
		list = append(list, c.controlAddress(p))
	}
	return list
}

// configure writes the settings file of a process from its template.
func (c *cluster) configure(p *process, zone string, bootstrap bool) error {
	folder := filepath.Join(c.temp, p.name)
	p.dataDir = filepath.Join(folder, "data")
	if err := os.MkdirAll(p.dataDir, 0o700); err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Join(c.root, "deploy", p.role+".toml.tmpl"))
	if err != nil {
		return err
	}
	seeds, err := json.Marshal(c.seeds())
	if err != nil {
		return err
	}
	var zones []string
	for i := range c.controls {
		zones = append(zones, fmt.Sprintf("%q", fmt.Sprintf("z%d", i+1)))
	}
	memory, fds := "284", "4100"
	if p.role == "control" {
		memory, fds = "280", "4096"
	}
	filled := regexp.MustCompile(`\{\{#zones\}\}.*\{\{/zones\}\}`).ReplaceAllString(string(text), strings.Join(zones, ","))
	filled = strings.NewReplacer(
		"{{node_name}}", p.name, "{{zone}}", zone, "{{ip}}", p.ip, "{{internal_ports.0}}", fmt.Sprint(c.peerPort),
		"{{listen_addrs.control}}", c.controlAddress(p), "{{listen_addrs.frontend}}", c.frontAddress(p),
		"{{listen_addrs.readiness}}", fmt.Sprintf("%s:%d", p.ip, c.readyPort),
		"{{data_dir}}", p.dataDir, "{{seeds|json}}", string(seeds), "{{bootstrap}}", fmt.Sprint(bootstrap),
		"{{fault_tolerance.machines}}", "1", "{{limits.memory_mb}}", memory, "{{cloud_api.address}}", c.machinesAddress,
		"{{limits.max_fds}}", fds,
		"{{bounds.lease_ms}}", "3000",
	).Replace(filled)
	if strings.Contains(filled, "{{") {
		return fmt.Errorf("the template of %s has an unknown placeholder", p.role)
	}
	p.settings = filepath.Join(folder, "settings.toml")
	if p.command, err = runCommand(c.root, p.role); err != nil {
		return err
	}
	for i, word := range p.command {
		if strings.HasSuffix(word, "settings.toml") {
			p.command[i] = p.settings
		}
	}
	return os.WriteFile(p.settings, []byte(filled), 0o600)
}

// start starts a process; its output goes to a file in the temporary folder.
func (c *cluster) start(p *process) error {
	out, err := os.OpenFile(filepath.Join(c.temp, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(p.command[0], p.command[1:]...)
	p.cmd.Dir = c.root
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = append(os.Environ(), "LABURNUMROUTER_NODE_FILE="+p.settings)
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
	c.rec.add("process %s started on %s, pid %d", p.name, p.ip, p.cmd.Process.Pid)
	return nil
}

// kill ends a process with SIGKILL and waits for its end.
func (c *cluster) kill(p *process) {
	c.rec.add("process %s killed", p.name)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// signal sends a signal to a process.
func (c *cluster) signal(p *process, s syscall.Signal) {
	c.rec.add("process %s gets signal %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// controlAt returns the control process with a public address, or nil.
func (c *cluster) controlAt(address string) *process {
	for _, p := range c.controls {
		if c.controlAddress(p) == address {
			return p
		}
	}
	return nil
}

// stop ends all processes and removes the temporary folder unless KEEP is set.
func (c *cluster) stop() {
	all := append(append([]*process{}, c.controls...), c.entries...)
	for _, p := range all {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
	}
	for _, p := range all {
		if p.cmd == nil {
			continue
		}
		select {
		case <-p.exited:
		case <-time.After(5 * time.Second):
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", c.temp)
		return
	}
	_ = os.RemoveAll(c.temp)
}

var errNoAnswer = errors.New("no clear answer in time")
