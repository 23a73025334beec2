// Package requests measures the request path with real processes and compares it with a plain reverse proxy.
package requests

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"laburnumrouter/test/harness"
)

const (
	readyTimeout  = 30 * time.Second
	servers       = 4
	slots         = servers * 8
	startDeadline = 2 * time.Second // longest wait of a request before it starts
)

// weights are the shares of the workspaces.
var weights = map[string]int{"soap": 4, "oils": 2, "labels": 1, "drums": 1}

// bench is a data centre with three entries and four backend servers, together with the baseline proxies.
type bench struct {
	fleet      *harness.Fleet
	dir        string
	proxies    []*exec.Cmd
	roundRobin string // address of the proxy that takes the servers in turn, without a bound on running requests
	fifo       string // address of the proxy that admits requests first in, first out, up to slots at a time
}

func start(ctx context.Context) (*bench, error) {
	dir, err := os.MkdirTemp("", "laburnum-requests-")
	if err != nil {
		return nil, err
	}
	b := &bench{dir: dir}
	if err := b.start(ctx); err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

func (b *bench) start(ctx context.Context) error {
	if err := harness.Build(b.dir); err != nil {
		return err
	}
	shape := harness.Shape{
		Controls: []string{"dc1"}, Entries: []string{"dc1", "dc1", "dc1"}, Servers: servers, Services: []string{"check"},
	}
	var err error
	if b.fleet, err = harness.New(b.dir, b.dir, shape); err != nil {
		return err
	}
	if err := b.fleet.Start(); err != nil {
		return err
	}
	if err := await(ctx, b.fleet.Controls[0].Ready); err != nil {
		return err
	}
	if err := b.apply(ctx); err != nil {
		return err
	}
	for _, e := range b.fleet.Entries {
		if err := await(ctx, func() bool { return b.warm(e) }); err != nil {
			return fmt.Errorf("%s: %w", e.Name, err)
		}
	}
	return b.startProxies()
}

// warm sends one request of each workspace to an entry and reports whether all were answered.
func (b *bench) warm(e *harness.Node) bool {
	for workspace := range weights {
		if send(newClient(), target{address: e.Public, workspace: workspace}) != answered {
			return false
		}
	}
	return true
}

// apply applies the sheet of the measurements.
func (b *bench) apply(ctx context.Context) error {
	text := "kind,number,name,service,pool,team,instances,min_available,max_wait,max_run,max_waiting,share,limit,sha256\n" +
		fmt.Sprintf("sheet,1\npool,,check,check,,,%d,1\nqueue,,checks,,check,,,,%s,20s,5000\n", servers, startDeadline)
	for workspace, weight := range weights {
		sum := sha256.Sum256([]byte(workspace))
		text += fmt.Sprintf("team,,%s,,,,,,,,,%d,1000\nkey,,,,,%s,,,,,,,,%s\n", workspace, weight, workspace, hex.EncodeToString(sum[:]))
	}
	path := filepath.Join(b.dir, "sheet.csv")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	var last error
	err := await(ctx, func() bool {
		_, last = b.fleet.Ctl("apply", path)
		return last == nil
	})
	if err != nil {
		return fmt.Errorf("%w: %w", err, last)
	}
	return nil
}

func (b *bench) startProxies() error {
	bin := filepath.Join(b.dir, "baseproxy")
	out, err := exec.Command("go", "build", "-o", bin, "laburnumrouter/test/measure/requests/baseproxy").CombinedOutput()
	if err != nil {
		return fmt.Errorf("build: %w: %s", err, out)
	}
	addresses, err := b.serverAddresses()
	if err != nil {
		return err
	}
	if b.roundRobin, err = b.startProxy(bin, "--servers", addresses); err != nil {
		return err
	}
	b.fifo, err = b.startProxy(bin, "--servers", addresses, "--slots", fmt.Sprint(slots))
	return err
}

// serverAddresses returns the addresses of the backend servers, separated by commas.
func (b *bench) serverAddresses() (string, error) {
	resp, err := http.Get("http://" + b.fleet.Standins[0].Public + "/standin/servers")
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var byName map[string]string
	if err := json.NewDecoder(resp.Body).Decode(&byName); err != nil {
		return "", err
	}
	var list []string
	for _, address := range byName {
		list = append(list, address)
	}
	return strings.Join(list, ","), nil
}

// startProxy starts a baseline proxy and returns the address that it prints.
func (b *bench) startProxy(bin string, args ...string) (string, error) {
	cmd := exec.Command(bin, args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return "", err
	}
	if err := cmd.Start(); err != nil {
		return "", err
	}
	b.proxies = append(b.proxies, cmd)
	line, err := bufio.NewReader(out).ReadString('\n')
	return strings.TrimSpace(line), err
}

// setFault makes a backend server behave according to a kind of fault. The kind "none" ends it.
func (b *bench) setFault(server, kind string) error {
	resp, err := http.Post("http://"+b.fleet.Standins[0].Public+"/standin/fault/"+server+"?kind="+kind, "", nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// scheduler returns the entry whose own log last names it as the scheduler of the pool, and another entry. Either is
// nil if no log shows such an entry.
func (b *bench) scheduler() (scheduler, other *harness.Node) {
	for _, e := range b.fleet.Entries {
		log, err := os.ReadFile(e.LogFile())
		last := strings.LastIndex(string(log), "scheduler=")
		if err != nil || last < 0 {
			continue
		}
		name, _, _ := strings.Cut(string(log[last+len("scheduler="):]), "\n")
		if name == e.Name {
			scheduler = e
		} else {
			other = e
		}
	}
	return scheduler, other
}

func (b *bench) close() {
	for _, p := range b.proxies {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	if b.fleet != nil {
		b.fleet.Close()
	}
	_ = os.RemoveAll(b.dir)
}

// await polls until ok returns true, for up to readyTimeout.
func await(ctx context.Context, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !ok() {
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
