// Command lab-2 plays the scripts of the second independent review: the project's programs run as processes on loopback addresses, and
// minions, platform, operator and clients are stand-ins in this process. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case couldn't run.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu     sync.Mutex
	out    io.Writer
	began  time.Time
	onRun  func(m *minion, r *run)
	broken []string
}

func (r *recorder) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// breaks records that the rule was broken.
func (r *recorder) breaks(format string, values ...any) {
	r.mu.Lock()
	r.broken = append(r.broken, fmt.Sprintf(format, values...))
	r.mu.Unlock()
	r.add("RULE BROKEN: "+format, values...)
}

// started is called with the lock of the minion held.
func (r *recorder) started(m *minion, begun *run) {
	if r.onRun != nil {
		r.onRun(m, begun)
	}
}

// scenario is one script.
type scenario struct {
	// prepare adds machines and returns the configuration.
	prepare func(c *cluster) string
	// play sends work and, if trouble is set, brings the disruption about. It returns an error if the case can't run.
	play func(ctx context.Context, c *cluster, trouble bool) error
}

var scenarios = map[string]scenario{}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 20 * time.Second}}

// call sends a request and returns status and body; the status is 0 if there was no answer.
func call(ctx context.Context, limit time.Duration, method, url string, header map[string]string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		if k == "Host" {
			req.Host = v
			continue
		}
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

func main() {
	name := flag.String("scenario", "", "the script to play")
	bin := flag.String("bin", "target", "folder of the project's programs")
	record := flag.String("record", "", "file for the record")
	keep := flag.Bool("keep", false, "keep the temporary folder")
	flag.Parse()
	os.Exit(play(*name, *bin, *record, *keep))
}

func play(name, bin, record string, keep bool) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no scenario %q\n", name)
		return exitFailed
	}
	out := io.Writer(os.Stdout)
	if record != "" {
		file, err := os.Create(record)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
		defer file.Close()
		out = file
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec := &recorder{out: out, began: time.Now()}
	rec.add("scenario %s, trouble %t", name, trouble)
	c, err := newCluster(rec, bin)
	if err != nil {
		rec.add("can't run: %v", err)
		return exitFailed
	}
	defer c.stop(keep)
	if keep {
		fmt.Println(c.dir)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	c.configText = s.prepare(c)
	startCtx, cancelStart := context.WithTimeout(ctx, 20*time.Second)
	defer cancelStart()
	if err = c.start(startCtx); err == nil {
		err = s.play(ctx, c, trouble)
	}
	switch {
	case err != nil:
		rec.add("can't run: %v", err)
		fmt.Println("can't run:", err)
		return exitFailed
	case len(rec.broken) > 0:
		fmt.Println("broken:", rec.broken[0])
		return exitBroken
	}
	rec.add("the rule held")
	fmt.Println("held")
	return exitHeld
}

// route, service and tenant are parts of a configuration.
type (
	route struct {
		Name        string  `json:"name"`
		Host        string  `json:"host"`
		PathPrefix  string  `json:"path_prefix"`
		Kind        string  `json:"kind"`
		TimeoutMS   int     `json:"timeout_ms"`
		TargetMS    int     `json:"target_latency_ms"`
		Priority    int     `json:"priority"`
		Service     string  `json:"service"`
		MaxAttempts int     `json:"max_attempts"`
		SlackFactor float64 `json:"slack_factor"`
		Public      bool    `json:"public"`
	}
	service struct {
		Name       string `json:"name"`
		HealthPath string `json:"health_path"`
		MaxConns   int    `json:"max_conns"`
		Protocol   string `json:"protocol"`
		TLS        bool   `json:"tls"`
		Guards     bool   `json:"enforces_capacity"`
		Standby    bool   `json:"standby"`
	}
	tenant struct {
		Name       string           `json:"name"`
		APIKeys    []string         `json:"api_keys"`
		Priority   int              `json:"priority"`
		Weight     int              `json:"weight"`
		UpperBound map[string]int64 `json:"upper_bound"`
	}
)

func newRoute(name, prefix, service string) route {
	return route{Name: name, Host: "labs.example", PathPrefix: prefix, Kind: "non_idempotent", TimeoutMS: 3000, TargetMS: 600, Service: service, MaxAttempts: 3, SlackFactor: 1.6}
}

func newService(name string) service {
	return service{Name: name, HealthPath: "/healthz", MaxConns: 64, Protocol: "h1", Guards: true}
}

func newTenant(name string, keys ...string) tenant {
	return tenant{Name: name, APIKeys: keys, Priority: 1, Weight: 10, UpperBound: map[string]int64{"cpu": 1_000_000, "mem_mb": 4_000_000, "gpu": 0}}
}

func configText(version int, routes []route, services []service, tenants []tenant) string {
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return string(data)
}

// phase is a step of a job.
type phase struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	MemMB        int64  `json:"mem_mb"`
	EstimateMS   int64  `json:"estimate_ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	MayMiss      int    `json:"may_miss,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Constraints  string `json:"constraints,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
}

func jobText(spec work, phases ...phase) []byte {
	text, _ := json.Marshal(spec)
	data, _ := json.Marshal(map[string]any{"spec": string(text), "phases": phases})
	return data
}

func callerHeader(key string) map[string]string {
	return map[string]string{"Host": "labs.example", "Authorization": "Bearer " + key, "X-Deadline-Ms": "3000"}
}

// submit hands a job in until it is accepted.
func (c *cluster) submit(ctx context.Context, key, path string, body []byte) error {
	for i := 0; ctx.Err() == nil; i++ {
		status, _ := call(ctx, 3*time.Second, "POST", "http://"+c.front(i%entryCount)+path, callerHeader(key), body)
		c.rec.add("client: POST %s -> %d", path, status)
		if status == 200 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s wasn't accepted", path)
}

// state asks for the state of a job; it is empty without an answer 200.
func (c *cluster) state(ctx context.Context, i int, key, path string) (state string, status int) {
	status, data := call(ctx, 3*time.Second, "GET", "http://"+c.front(i%entryCount)+path, callerHeader(key), nil)
	var answer struct {
		State string `json:"state"`
	}
	if status == 200 {
		_ = json.Unmarshal(data, &answer)
	}
	return answer.State, status
}

// cancel cancels a job.
func (c *cluster) cancelJob(ctx context.Context, i int, key, path string) int {
	status, _ := call(ctx, 3*time.Second, "DELETE", "http://"+c.front(i%entryCount)+path, callerHeader(key), nil)
	c.rec.add("client: DELETE %s -> %d", path, status)
	return status
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
