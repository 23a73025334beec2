package cluster

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Hosts of a fleet: the last byte of the address of the first process of each class.
const (
	firstControl = 1
	firstEntry   = 10
	firstWorker  = 60
	lastHost     = 250
	relayHost    = 253
)

const logSettings = "[log]\nlevel = \"info\"\nstdout = true\n"

func dataCentre(i int) string { return fmt.Sprintf("dc%d", i%dataCentres+1) }

// addControls adds the control instances. Each listens for peers behind a relay at the address that it advertises.
func (c *Cluster) addControls(shape Shape) error {
	port, err := c.freePort(c.host(firstControl))
	if err != nil {
		return err
	}
	c.peerPort = port
	for i := range shape.Controls {
		if err := c.addControl(i, shape); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) addControl(i int, shape Shape) error {
	host, name := c.host(firstControl+i), fmt.Sprintf("control-%d", i+1)
	listen, err := c.address(host)
	if err != nil {
		return err
	}
	bind, err := c.address(host)
	if err != nil {
		return err
	}
	peer := fmt.Sprintf("%s:%d", host, c.peerPort)
	if _, err := c.relay(peer, name, bind, c.fromAny(&c.Controls, &c.Entries)); err != nil {
		return err
	}
	public, err := c.relayAtAnyPort(name, listen, from(Operator))
	if err != nil {
		return err
	}
	c.listens, c.Public = append(c.listens, listen), append(c.Public, public)
	p := &Process{Name: name, Class: Control, Listen: listen, cluster: c, dataDir: filepath.Join(c.dir, name)}
	p.command = c.program("laburnum-control", p, shape.ControlLimits, func(life int) string {
		return fmt.Sprintf("name = %q\ndata_centre = %q\nlisten = %q\npeer_listen = %q\npeer_bind = %q\ndata_dir = %q\nseeds = %s\n"+
			"first_start = %t\nlosses = %d\nmemory_mb = %d\n",
			name, dataCentre(i), listen, peer, bind, p.dataDir, quoted(c.listens), life == 1, shape.Losses(), shape.ControlLimits.memoryMB())
	})
	c.Controls = append(c.Controls, p)
	return nil
}

func (c *Cluster) addEntries(shape Shape) error {
	for i := range shape.Entries {
		host, name := c.host(firstEntry+i), fmt.Sprintf("entry-%d", i+1)
		if firstEntry+i >= firstWorker {
			return Error.New("too many entry instances")
		}
		var listen [3]string
		for k := range listen {
			address, err := c.address(host)
			if err != nil {
				return err
			}
			listen[k] = address
		}
		front, err := c.relayAtAnyPort(name, listen[0], from(Callers))
		if err != nil {
			return err
		}
		c.Frontends = append(c.Frontends, front)
		p := &Process{Name: name, Class: Entry, Listen: listen[0], ReadyListen: listen[1], MetricsListen: listen[2], cluster: c}
		p.command = c.program("laburnum-entry", p, shape.EntryLimits, func(int) string {
			return fmt.Sprintf("name = %q\ndata_centre = %q\nlisten = %q\nready_listen = %q\nmetrics_listen = %q\npeer_listen = \"%s:%d\"\n"+
				"seeds = %s\nmemory_mb = %d\n",
				name, dataCentre(i), listen[0], listen[1], listen[2], host, c.peerPort, quoted(c.listens), shape.EntryLimits.memoryMB())
		})
		c.Entries = append(c.Entries, p)
	}
	return nil
}

// program returns the command of one of the product's programs; its settings are written anew for each life.
func (c *Cluster) program(name string, p *Process, limits Limits, settings func(life int) string) func(int) (string, []string, error) {
	return func(life int) (string, []string, error) {
		path := filepath.Join(c.dir, p.Name+".toml")
		err := os.WriteFile(path, []byte(settings(life)+logSettings), 0o600)
		program, args := filepath.Join(c.bin, name), []string{"jobs", "--settings", path}
		if limits.Descriptors > 0 {
			script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, limits.Descriptors)
			return "sh", append([]string{"-c", script, program}, args...), err
		}
		return program, args, err
	}
}

// addWorkers adds the backend servers. Every second life of a worker has the id of its first one.
func (c *Cluster) addWorkers(shape Shape) error {
	for i := range shape.Workers {
		if firstWorker+i > lastHost {
			return Error.New("too many workers")
		}
		host, name := c.host(firstWorker+i), fmt.Sprintf("worker-%d", i+1)
		listen, err := c.address(host)
		if err != nil {
			return err
		}
		address, err := c.relayAtAnyPort(name, listen, c.fromAny(&c.Controls))
		if err != nil {
			return err
		}
		controls, err := c.relaysOfWorker(name)
		if err != nil {
			return err
		}
		p := &Process{Name: name, Class: Worker, cluster: c}
		p.command = func(life int) (string, []string, error) {
			id := name
			if life%2 == 0 {
				id = fmt.Sprintf("%s-%d", name, life)
			}
			args := []string{
				"worker", "--name", name, "--life", fmt.Sprint(life), "--id", id, "--listen", listen, "--address", address,
				"--service", Pools[i%len(Pools)], "--zone", dataCentre(i), "--capacity", fmt.Sprint(WorkerCapacity),
				"--rate", fmt.Sprint(1 - float64(i%5)*0.005), "--controls", strings.Join(controls, ","), "--real-controls", strings.Join(c.listens, ","),
				"--history", filepath.Join(c.dir, name+".jsonl"), "--plant", c.plant,
			}
			if i%len(Pools) == 0 {
				args = append(args, "--guards")
			}
			return c.soak, args, nil
		}
		c.Workers = append(c.Workers, p)
	}
	return nil
}

// relaysOfWorker adds the relays by which a worker reaches the control instances.
func (c *Cluster) relaysOfWorker(name string) (addresses []string, err error) {
	for i, listen := range c.listens {
		address, err := c.relayAtAnyPort(c.Controls[i].Name, listen, from(name))
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

func quoted(list []string) string {
	var parts []string
	for _, s := range list {
		parts = append(parts, fmt.Sprintf("%q", s))
	}
	return "[" + strings.Join(parts, ", ") + "]"
}
