// Package session measures the CPU time of the leader's session without a network: submissions, plans, starts, reports and
// ends of a heavy day with fake servers and a fake log.
package session

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/pprof"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/process/metrics"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
	"laburnumrouter/test/measure/recorder"
)

// The load is that of the heaviest measured day: 240 jobs and 3,050 tasks a second on 350 servers of 64 cores.
const (
	area          = "session"
	serverCount   = 350
	jobInterval   = time.Second / 240
	runTime       = 300 * time.Millisecond
	warmUp        = time.Second
	measured      = 8 * time.Second
	waitingJobs   = 2000 // in the run with a backlog; a third run has five times as many
	announceEvery = 1500 * time.Millisecond
)

// parts are the functions whose CPU time, with all that they call, is reported. Some contain others: the lines of the log are
// written and commands encoded within the other parts.
var parts = []struct{ name, function string }{
	{"submit", "dispatch.(*session).submit"},
	{"plan", "dispatch.(*session).planOnce"},
	{"schedule (within plan)", "schedule.Plan"},
	{"start", "dispatch.(*session).sendStart"},
	{"report", "dispatch.(*holdLoop).holdOnce"},
	{"commit of ends and other parts", "dispatch.(*endQueue).commit"},
	{"apply", "dispatch.(*Engine).Apply"},
	{"log lines (within the others)", "hclog.(*intLogger).log"},
	{"encoding (within the others)", "json.Marshal"},
	{"decoding (within the others)", "json.Unmarshal"},
	{"garbage collection", "runtime.gcBgMarkWorker"},
	{"fake servers", "session.(*fakeServers).Start"},
	{"fake reports", "session.(*fakeServers).Hold"},
	{"fake ends", "session.(*fakeServers).finish"},
}

// Run records the CPU time per task and job, by part, on a fleet with room and with two backlogs of waiting jobs.
func Run(ctx context.Context, r *recorder.Recorder) error {
	for _, waiting := range []int{0, waitingJobs, 5 * waitingJobs} {
		if err := measure(ctx, r, waiting); err != nil {
			return err
		}
	}
	return nil
}

type bench struct {
	dispatcher *dispatch.Dispatcher
	log        *fakeLog
	servers    *fakeServers
	ids        []string
	jobs       atomic.Int64
	rejected   atomic.Int64

	mu        sync.Mutex
	submitted map[string]submission // those accepted, by job
}

// submission is when a job was submitted and how long the answer took.
type submission struct {
	at   time.Time
	took time.Duration
}

func measure(ctx context.Context, r *recorder.Recorder, waiting int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b := newBench()
	done := make(chan struct{})
	go b.log.run(ctx)
	go func() {
		defer close(done)
		_ = b.dispatcher.Run(ctx)
	}()
	if err := b.prepare(ctx, waiting); err != nil {
		return err
	}
	go b.announce(ctx)
	go b.load(ctx)
	time.Sleep(warmUp)
	profile := &bytes.Buffer{}
	before := b.count()
	if err := pprof.StartCPUProfile(profile); err != nil {
		return err
	}
	time.Sleep(measured)
	pprof.StopCPUProfile()
	after := b.count()
	cancel()
	<-done
	byPart, err := cpuByPart(profile.Bytes())
	if err != nil {
		return err
	}
	b.record(r, waiting, before, after, byPart)
	return nil
}

func newBench() *bench {
	b := &bench{submitted: make(map[string]submission)}
	for i := range serverCount {
		b.ids = append(b.ids, fmt.Sprintf("s%03d", i))
	}
	log := hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: io.Discard})
	engine := dispatch.NewEngine(log)
	b.log = &fakeLog{engine: engine, proposals: make(chan *proposal, 10_000)}
	b.servers = newFakeServers(b.ids)
	b.dispatcher = dispatch.New(dispatch.Options{
		Name: "c1", Address: "c1", Engine: engine, Replica: b.log, Servers: b.servers, Log: log,
		Scope: metrics.New("laburnum_jobs", "c1").Scope(), ElectionTime: 500 * time.Millisecond, MachineLease: time.Second,
		MemberFormat: func(context.Context) int { return ledger.NewestFormat },
	})
	return b
}

// prepare waits until the dispatcher leads, sets the configuration, announces the servers and submits jobs that can't run.
func (b *bench) prepare(ctx context.Context, waiting int) error {
	for !b.dispatcher.Leads() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	config := &accepted.Config{
		Version: 1, Raw: []byte("{}"), Pools: []accepted.Pool{{Name: "p"}},
		Queues:     []accepted.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", TimeoutMS: 1000, SlackFactor: 2, ObjectiveMS: 600, MaxAttempts: 2}},
		Workspaces: []accepted.Workspace{{Name: "w", Keys: []string{"k"}}},
	}
	reply, err := b.dispatcher.Do(ctx, &dispatch.Call{Op: dispatch.OpPutConfig, Config: config})
	if err != nil {
		return err
	}
	if reply.Outcome != dispatch.OK {
		return fmt.Errorf("configuration: %s %s", reply.Outcome, reply.Reason)
	}
	b.announceAll(ctx, 1)
	tooLarge := []ledger.Step{{Count: 1, Need: ledger.Resources{CPU: 65_000, MemMB: 100}, EstimateMS: 300}}
	var group errgroup.Group
	group.SetLimit(100)
	for i := range waiting {
		group.Go(func() error { return b.submit(ctx, fmt.Sprint("waiting", i), tooLarge) })
	}
	return group.Wait()
}

func (b *bench) announceAll(ctx context.Context, seq int64) {
	for _, id := range b.ids {
		server := &ledger.Server{
			ID: id, Pool: "p", Address: id, Capacity: ledger.Resources{CPU: 64_000, MemMB: 256_000}, Born: 1, Seq: seq, ClockMS: b.servers.clock(),
		}
		go func() { _, _ = b.dispatcher.Do(ctx, &dispatch.Call{Op: dispatch.OpAnnounce, Server: server}) }()
	}
}

func (b *bench) announce(ctx context.Context) {
	for seq := int64(2); ctx.Err() == nil; seq++ {
		time.Sleep(announceEvery)
		b.announceAll(ctx, seq)
	}
}

func (b *bench) submit(ctx context.Context, id string, steps []ledger.Step) error {
	reply, err := b.dispatcher.Do(ctx, &dispatch.Call{
		Op: dispatch.OpSubmit, Host: "h", Path: "/q/" + id, Key: "k", RequestID: "r-" + id,
		Job: &ledger.Submission{Spec: strings.Repeat("s", 200), Steps: steps},
	})
	if err == nil && reply.Outcome != dispatch.OK {
		err = fmt.Errorf("submission of %s: %s %s", id, reply.Outcome, reply.Reason)
	}
	return err
}

// load submits a job every jobInterval until ctx ends: two steps, 12 tasks for each third job and 13 for the others.
func (b *bench) load(ctx context.Context) {
	ticker := time.NewTicker(jobInterval)
	defer ticker.Stop()
	need := ledger.Resources{CPU: 2000, MemMB: 4000}
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		second := 7
		if i%3 == 0 {
			second = 6
		}
		steps := []ledger.Step{
			{Count: 6, Need: need, EstimateMS: runTime.Milliseconds()},
			{Count: second, Need: need, EstimateMS: runTime.Milliseconds(), After: []int{0}},
		}
		go func() {
			id, at := fmt.Sprint("job", i), time.Now()
			if b.submit(ctx, id, steps) != nil {
				b.rejected.Add(1)
				return
			}
			b.jobs.Add(1)
			b.mu.Lock()
			b.submitted[id] = submission{at, time.Since(at)}
			b.mu.Unlock()
		}()
	}
}

// counts are totals since the start of the process or of the load.
type counts struct {
	cpu                          time.Duration
	jobs, starts, ends, rejected int64
	entries, bytes               int64
}

func (b *bench) count() counts {
	var usage unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &usage) // fails only for an invalid argument
	c := counts{cpu: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), jobs: b.jobs.Load(), rejected: b.rejected.Load()}
	c.starts, c.ends = b.servers.counts()
	c.entries, c.bytes = b.log.counts()
	return c
}

func (b *bench) record(r *recorder.Recorder, waiting int, before, after counts, byPart map[string]time.Duration) {
	load := fmt.Sprintf("%d jobs waiting", waiting)
	starts := float64(after.starts - before.starts)
	add := func(name, unit string, value float64) {
		r.Add(recorder.Figure{Area: area, Name: load + ": " + name, Unit: unit, Value: value})
	}
	cpu := after.cpu - before.cpu
	add("CPU of the process with the fakes", "cores", cpu.Seconds()/measured.Seconds())
	add("CPU per task", "us", float64(cpu.Microseconds())/starts)
	add("CPU per job", "us", float64(cpu.Microseconds())/float64(after.jobs-before.jobs))
	add("submissions accepted", "1/s", float64(after.jobs-before.jobs)/measured.Seconds())
	add("submissions rejected", "1/s", float64(after.rejected-before.rejected)/measured.Seconds())
	add("starts", "1/s", starts/measured.Seconds())
	add("ends", "1/s", float64(after.ends-before.ends)/measured.Seconds())
	answers, firstStarts := b.latencies()
	add("submission to answer, median", "ms", percentile(answers, 50))
	add("submission to answer, p99", "ms", percentile(answers, 99))
	add("submission to first start, median", "ms", percentile(firstStarts, 50))
	add("submission to first start, p99", "ms", percentile(firstStarts, 99))
	add("log entries", "1/s", float64(after.entries-before.entries)/measured.Seconds())
	add("log bytes per task", "B", float64(after.bytes-before.bytes)/starts)
	for _, p := range parts {
		add("CPU per task: "+p.name, "us", float64(byPart[p.function].Microseconds())/starts)
	}
}

// latencies returns the times from the submission of each started job to its answer and to its first start, sorted.
func (b *bench) latencies() (answers, firstStarts []time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.servers.mu.Lock()
	defer b.servers.mu.Unlock()
	for id, s := range b.submitted {
		if started, ok := b.servers.firstStart[id]; ok {
			answers, firstStarts = append(answers, s.took), append(firstStarts, started.Sub(s.at))
		}
	}
	slices.Sort(answers)
	slices.Sort(firstStarts)
	return answers, firstStarts
}

// percentile returns a percentile of sorted times in milliseconds.
func percentile(sorted []time.Duration, p int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[(len(sorted)-1)*p/100].Microseconds()) / 1000
}

// cpuByPart returns the CPU time of each function of parts, including what it calls, from a CPU profile.
func cpuByPart(profile []byte) (map[string]time.Duration, error) {
	path := filepath.Join(os.TempDir(), fmt.Sprintf("laburnum-session-%d.pprof", os.Getpid()))
	if err := os.WriteFile(path, profile, 0o600); err != nil {
		return nil, err
	}
	if keep := os.Getenv("SESSION_PROFILE"); keep != "" {
		_ = os.WriteFile(keep, profile, 0o600) // a copy for a closer look; the figures don't depend on it
	}
	defer func() { _ = os.Remove(path) }()
	out, err := exec.Command("go", "tool", "pprof", "-top", "-cum", "-nodecount=100000", "-nodefraction=0", "-unit=us", path).Output()
	if err != nil {
		return nil, fmt.Errorf("go tool pprof: %w", err)
	}
	byPart := make(map[string]time.Duration)
	for line := range strings.Lines(string(out)) {
		// flat, flat%, sum%, cum, cum%, function
		fields := strings.Fields(line)
		if len(fields) < 6 {
			continue
		}
		cum, err := strconv.ParseFloat(strings.TrimSuffix(fields[3], "us"), 64)
		if err != nil {
			continue
		}
		for _, p := range parts {
			if strings.HasSuffix(fields[5], p.function) {
				byPart[p.function] = time.Duration(cum) * time.Microsecond
			}
		}
	}
	return byPart, nil
}
