package crowd

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/platform/outside"
	"laburnumrouter/test/harness"
	"laburnumrouter/test/soak/cluster"
	"laburnumrouter/test/soak/history"
)

const (
	host, queue, key = "jobs.example", "alpha", "key-base"
	// stopLimit bounds the wait for the end of a process that was killed.
	stopLimit = 10 * time.Second
)

var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "laburnum-crowd-")
	if err == nil {
		binDir = dir
		err = harness.Build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// startJobs starts three control instances and an entry instance in mode jobs, and waits until a job is accepted.
func startJobs(t *testing.T, shape cluster.Shape) *cluster.Cluster {
	t.Helper()
	dir := t.TempDir()
	out, err := history.Create(filepath.Join(dir, "history.jsonl"))
	must.NoError(t, err)
	shape.Controls, shape.Entries = 3, 1
	c, err := cluster.New(dir, binDir, "", "", shape, out)
	must.NoError(t, err)
	t.Cleanup(func() {
		for _, p := range c.All() {
			p.End(syscall.SIGKILL, stopLimit)
		}
		c.Close()
		must.NoError(t, out.Close())
		if t.Failed() {
			logTails(t, dir)
		}
	})
	must.NoError(t, c.Start())
	eventually(t, "configuration is acknowledged", func(timeout time.Duration) error {
		return putConfig(c.Controls[0].Listen, timeout)
	})
	eventually(t, "job is accepted", submit(c.Entries[0].Listen))
	return c
}

func eventually(t *testing.T, what string, attempt func(time.Duration) error) {
	t.Helper()
	must.NoError(t, Repeat(attempt), must.Sprint(what))
}

func logTails(t *testing.T, dir string) {
	const tail = 1500
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, f := range files {
		if data, err := os.ReadFile(f); err == nil {
			t.Logf("--- %s\n%s", filepath.Base(f), data[max(0, len(data)-tail):])
		}
	}
}

// exchange sends a request on a connection of its own and returns an error unless the answer's status is 2xx.
func exchange(method, url string, body []byte, timeout time.Duration, edit func(*http.Request)) error {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	edit(req)
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %s: %w", resp.Status, answer[:min(len(answer), 200)], err)
	}
	return nil
}

func putConfig(address string, timeout time.Duration) error {
	c := outside.Config{
		Version: 1, Workspace: "north", Keys: []string{key}, Pools: []outside.Pool{{Name: "guarded", Guards: true}},
		Queues: []outside.Queue{{Name: queue, Host: host, Pool: "guarded", MaxAttempts: 3}},
	}
	body, err := c.Encode()
	if err != nil {
		return err
	}
	return exchange(http.MethodPut, "http://"+address+outside.PathConfig, body, timeout, func(*http.Request) {})
}

// jobBody returns a job, filled up to size bytes if it is smaller.
func jobBody(size int) []byte {
	body := []byte(`{"spec":"echo","phases":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":100}]}`)
	return append(body, bytes.Repeat([]byte(" "), max(0, size-len(body)))...)
}

// submit returns a function that hands in a job.
func submit(address string) func(time.Duration) error {
	body := jobBody(0)
	return func(timeout time.Duration) error {
		return exchange(http.MethodPost, "http://"+address+jobPath(), body, timeout, func(r *http.Request) {
			r.Host = host
			r.Header.Set("Authorization", "Bearer "+key)
		})
	}
}

func jobPath() string { return fmt.Sprintf("/%s/%016x", queue, rand.Uint64()) }

// entryTarget is the entry instance of a cluster with what its callers do.
func entryTarget(c *cluster.Cluster, limits cluster.Limits) *Target {
	e := c.Entries[0]
	return &Target{
		PID: e.PID(), Listeners: []string{e.Listen, e.ReadyListen, e.MetricsListen}, MemoryMB: limits.MemoryMB, Descriptors: limits.Descriptors,
		Ordinary: submit(e.Listen),
	}
}
