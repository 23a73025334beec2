package orderforward

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/process/settings"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/platform"
	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
)

const (
	benchServers = 350
	benchRuns    = 10 // runs in each report
	// benchChild is set in the process that plays forwarders and backend servers, so that the CPU time of the process that
	// runs the benchmark is the leader's.
	benchChild = "ORDERFORWARD_BENCH_CHILD"
)

func TestMain(m *testing.M) {
	if os.Getenv(benchChild) != "" {
		playOthers()
		return
	}
	os.Exit(m.Run())
}

// instantServers implements dispatch.Servers with answers that take no time.
type instantServers struct{}

func (instantServers) Start(context.Context, dispatch.Target, dispatch.StartOrder) (dispatch.StartAnswer, int64, error) {
	return dispatch.StartAccepted, 123456, nil
}
func (instantServers) Stop(context.Context, dispatch.Target, dispatch.StopOrder) error { return nil }
func (instantServers) Pace(context.Context, dispatch.Target, dispatch.PaceOrder) error { return nil }
func (instantServers) Hold(context.Context, dispatch.Target, dispatch.HoldOrder) (*dispatch.HoldReport, error) {
	r := &dispatch.HoldReport{ClockMS: 123456, Born: 1234567}
	for i := range benchRuns {
		r.Running = append(r.Running, dispatch.RunningTask{Task: benchTask(i), Run: 1, Percent: 100, Figure: 900})
	}
	r.Finished = []dispatch.FinishedTask{{Number: 77, Task: benchTask(benchRuns), Run: 1, How: ledger.EndDone}}
	return r, nil
}

// parkedServers answers the starts of the last 10 ms together. It shows what it costs that the caller of the blocking
// interface waits for an answer.
type parkedServers struct {
	instantServers
	mu      sync.Mutex
	waiting []chan struct{}
}

func (p *parkedServers) Start(ctx context.Context, to dispatch.Target, o dispatch.StartOrder) (dispatch.StartAnswer, int64, error) {
	done := make(chan struct{}, 1)
	p.mu.Lock()
	p.waiting = append(p.waiting, done)
	p.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
	return p.instantServers.Start(ctx, to, o)
}

func (p *parkedServers) run() {
	for range time.Tick(10 * time.Millisecond) {
		p.mu.Lock()
		for _, c := range p.waiting {
			c <- struct{}{}
		}
		p.waiting = p.waiting[:0]
		p.mu.Unlock()
	}
}

func benchTask(i int) ledger.TaskID {
	return ledger.TaskID{Job: fmt.Sprintf("job-%012d", i/3), Index: i}
}

// playOthers serves seven forwarders and all backend servers, prints their addresses, and ends with its standard input.
func playOthers() {
	var addresses []string
	serve := func(address string, h http.Handler) {
		l, err := net.Listen("tcp", address)
		if err != nil {
			panic(err)
		}
		addresses = append(addresses, l.Addr().String())
		s := &http.Server{Handler: h, Protocols: new(http.Protocols)}
		s.Protocols.SetHTTP1(true)
		s.Protocols.SetUnencryptedHTTP2(true)
		go func() { _ = s.Serve(l) }()
	}
	report, _ := instantServers{}.Hold(context.Background(), dispatch.Target{}, dispatch.HoldOrder{})
	var running [][]any
	for _, r := range report.Running {
		running = append(running, []any{r.Task, r.Run, r.Checkpoint, r.Percent, r.Figure})
	}
	end := report.Finished[0]
	finished := [][]any{{end.Number, end.Task, end.Run, end.How, end.Checkpoint}}
	held, _ := json.Marshal(map[string]any{"clock_ms": 123456, "born": 1234567, "running": running, "finished": finished})
	serve("0.0.0.0:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/hold") {
			_, _ = w.Write(held)
			return
		}
		_, _ = w.Write([]byte(`{"clock_ms":123456,"born":1234567}`))
	}))
	for range 7 {
		s := NewService(ServiceOptions{
			Servers: instantServers{}, Term: func() uint64 { return 1 }, Spec: func(string) (string, bool) { return "spec", true },
			Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
		})
		mux := http.NewServeMux()
		mux.Handle(s.Handler())
		serve("127.0.0.1:0", mux)
	}
	fmt.Println(strings.Join(addresses, " "))
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
}

// BenchmarkLeader measures the CPU time per call of the leader's process at 3,000 calls per second, in groups every 4 ms as
// a planner makes them. "none" has no network and shows what the load itself costs.
// Run it with -benchtime 15000x; the time per operation is that of the pace.
func BenchmarkLeader(b *testing.B) {
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), benchChild+"=1")
	in, err := child.StdinPipe()
	must.NoError(b, err)
	out, err := child.StdoutPipe()
	must.NoError(b, err)
	must.NoError(b, child.Start())
	defer func() { _ = in.Close(); _ = child.Wait() }()
	line, err := bufio.NewReader(out).ReadString('\n')
	must.NoError(b, err)
	addresses := strings.Fields(line)
	_, port, err := net.SplitHostPort(addresses[0])
	must.NoError(b, err)

	measure := func(name string, servers dispatch.Servers, kinds ...string) {
		for _, kind := range kinds {
			b.Run(kind+"/"+name, func(b *testing.B) { benchmarkCalls(b, servers, kind, port) })
		}
	}
	measure("none", instantServers{}, "start", "hold")
	parked := &parkedServers{}
	go parked.run()
	measure("parked", parked, "start")
	measure("direct", platform.NewServerClient(), "start", "hold")
	for _, n := range []int{2, 7} { // the number that the gate chooses, and all
		status := Status{Leads: true, Term: uint64(n)}
		for _, a := range addresses[1 : 1+n] {
			status.Active = append(status.Active, Member{Name: a, Address: a})
		}
		client := NewClient(Options{
			Direct: platform.NewServerClient(), Status: func() Status { return status }, MayOrder: func() bool { return true },
			Dial: func(a string) laburnumv1connect.OrderServiceClient {
				return peer.NewDialer().Peer(settings.Peer{Address: a}).Orders
			},
			Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
		})
		client.gate = gate{wanted: n, lowSince: math.MaxInt64}
		ctx, cancel := context.WithCancel(b.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = client.Run(ctx) }()
		for client.table.Load() == nil || len(client.table.Load().links) < n {
			time.Sleep(10 * time.Millisecond)
		}
		benchFence = uint64(n)
		measure(fmt.Sprintf("forwarders=%d", n), client, "start", "hold")
		cancel()
		<-ended
	}
}

// benchFence is the term of the calls. It increases, because forwarders serve only the highest.
var benchFence uint64

func benchmarkCalls(b *testing.B, servers dispatch.Servers, kind, port string) {
	const group, every = 12, 4 * time.Millisecond
	var calls sync.WaitGroup
	var failed atomic.Int64
	var before, after syscall.Rusage
	must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &before))
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for i := range b.N {
		if i%group == 0 {
			<-ticker.C
		}
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(b.Context(), 400*time.Millisecond)
			defer cancel()
			n := i * 7919 % benchServers
			to := dispatch.Target{ID: fmt.Sprintf("i-%08x", n), Address: fmt.Sprintf("127.0.%d.%d:%s", 1+n/200, 1+n%200, port)}
			var err error
			if kind == "start" {
				_, _, err = servers.Start(ctx, to, dispatch.StartOrder{Task: benchTask(i), Run: 1, Spec: "spec", DeadlineMS: 1234567, Fence: benchFence})
			} else {
				_, err = servers.Hold(ctx, to, dispatch.HoldOrder{Fence: benchFence, DeadlineMS: 1234567, AckedEnd: 76})
			}
			if err != nil {
				failed.Add(1)
			}
		})
	}
	calls.Wait()
	must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &after))
	spent := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(failed.Load()), "unanswered")
	b.ReportMetric(float64(spent)/1000/float64(b.N), "cpu-us/call")
}
