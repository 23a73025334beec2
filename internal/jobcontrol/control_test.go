package jobcontrol

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/leader"
	"laburnumrouter/internal/process/journal"
	"laburnumrouter/internal/process/settings"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

// doneServers is one backend server at which every run ends done at once.
type doneServers struct {
	mu       sync.Mutex
	began    time.Time
	fence    uint64
	finished []dispatch.FinishedTask
	starts   map[string]int // by task
}

func (d *doneServers) clock() int64 { return time.Since(d.began).Milliseconds() }

func (d *doneServers) Start(_ context.Context, _ dispatch.Target, o dispatch.StartOrder) (dispatch.StartAnswer, int64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if o.Fence < d.fence {
		return dispatch.StartFenced, d.clock(), nil
	}
	d.fence = o.Fence
	d.starts[o.Task.String()]++
	d.finished = append(d.finished, dispatch.FinishedTask{
		Number: int64(len(d.starts)), Task: o.Task, Run: o.Run, How: ledger.EndDone,
	})
	return dispatch.StartTaken, d.clock(), nil
}

func (d *doneServers) Stop(context.Context, dispatch.Target, dispatch.StopOrder) error { return nil }

func (d *doneServers) Hold(_ context.Context, _ dispatch.Target, o dispatch.HoldOrder) (*dispatch.HoldReport, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if o.Fence < d.fence {
		return nil, dispatch.ErrFenced
	}
	d.fence = o.Fence
	d.finished = slices.DeleteFunc(d.finished, func(f dispatch.FinishedTask) bool { return f.Number <= o.AckedEnd })
	return &dispatch.HoldReport{ClockMS: d.clock(), Born: 1, Finished: slices.Clone(d.finished)}, nil
}

func (d *doneServers) Pace(context.Context, dispatch.Target, dispatch.PaceOrder) error { return nil }

// cluster is three control instances in this process, each at a loopback address of its own.
type cluster struct {
	t       *testing.T
	servers *doneServers
	public  int
	peers   int
	dirs    [3]string
	stop    [3]func()
	client  *leader.Client
	seq     int64
	log     lines
	handler http.Handler // of operators' calls
	disks   [3]disk
}

// disk is a file system that takes no more bytes while it is full.
type disk struct {
	journal.OS
	full atomic.Bool
}

func (d *disk) Create(path string) (journal.File, error) {
	f, err := d.OS.Create(path)
	return diskFile{f, d}, err
}

func (d *disk) Open(path string) (journal.File, error) {
	f, err := d.OS.Open(path)
	return diskFile{f, d}, err
}

type diskFile struct {
	journal.File
	disk *disk
}

func (f diskFile) Write(p []byte) (int, error) {
	if f.disk.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(p)
}

// lines keeps what the instances log.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *lines) count(part string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), part)
}

func (l *lines) has(part string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), part)
}

// freePort returns a port that is free at all three addresses.
func freePort(t *testing.T) int {
	t.Helper()
	for range 50 {
		first, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		port := first.Addr().(*net.TCPAddr).Port
		free := true
		for _, host := range []string{"127.0.0.2", "127.0.0.3"} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
			if err != nil {
				free = false
				continue
			}
			must.NoError(t, l.Close())
		}
		must.NoError(t, first.Close())
		if free {
			return port
		}
	}
	t.Fatal("no port is free at all addresses")
	return 0
}

// newCluster starts three instances; the disks of those that are named are full.
func newCluster(t *testing.T, operators http.Handler, full ...int) *cluster {
	t.Helper()
	c := &cluster{
		t: t, servers: &doneServers{began: time.Now(), starts: make(map[string]int)}, public: freePort(t),
		handler: operators,
	}
	for c.peers = freePort(t); c.peers == c.public; {
		c.peers = freePort(t)
	}
	for _, i := range full {
		c.disks[i].full.Store(true)
	}
	for i := range c.dirs {
		c.dirs[i] = t.TempDir()
		c.start(i, true)
	}
	t.Cleanup(func() {
		for _, stop := range c.stop {
			stop()
		}
	})
	c.client = leader.NewClient(PeerAddresses(c.seeds(), c.peerAddress(0)), nil, hclog.NewNullLogger())
	return c
}

func (c *cluster) address(i, port int) string { return fmt.Sprintf("127.0.0.%d:%d", i+1, port) }

func (c *cluster) peerAddress(i int) string { return c.address(i, c.peers) }

func (c *cluster) seeds() []string {
	return []string{c.address(0, c.public), c.address(1, c.public), c.address(2, c.public)}
}

func (c *cluster) start(i int, first bool) {
	c.t.Helper()
	s := DefaultSettings()
	s.Name, s.DataCentre = fmt.Sprintf("control-%d", i), "dc"
	s.Listen, s.PeerListen, s.DataDir = c.address(i, c.public), c.peerAddress(i), c.dirs[i]
	s.Seeds, s.FirstStart = c.seeds(), first
	var faults settings.Faults
	s.Check(&faults)
	must.EqOp(c.t, 0, len(faults.List()))
	ports := Ports{Servers: c.servers, FS: &c.disks[i], Public: func(func(context.Context, *dispatch.Call) *dispatch.Reply) http.Handler {
		return c.handler
	}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	log := hclog.New(&hclog.LoggerOptions{Output: &c.log, Level: hclog.Info})
	go func() { done <- Run(ctx, s, ports, log) }()
	c.stop[i] = sync.OnceFunc(func() {
		cancel()
		must.NoError(c.t, <-done)
	})
}

// do sends a call until it is carried out.
func (c *cluster) do(call *dispatch.Call) *dispatch.Reply {
	c.t.Helper()
	var reply *dispatch.Reply
	c.until(func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		again := *call
		reply = c.client.Do(ctx, &again)
		return reply.Outcome != dispatch.Unavailable && reply.Outcome != dispatch.Uncertain
	})
	return reply
}

func (c *cluster) until(f func() bool) {
	c.t.Helper()
	must.Wait(c.t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(60*time.Second), wait.Gap(20*time.Millisecond)))
}

// listens reports whether connections to an address are taken.
func (c *cluster) listens(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

func (c *cluster) announce() {
	c.seq++
	c.do(&dispatch.Call{Op: dispatch.OpAnnounce, Server: &ledger.Server{
		ID: "i-1", Pool: "p", Address: "x", Capacity: ledger.Resources{CPU: 8000, MemMB: 8000}, Born: 1, Seq: c.seq, ClockMS: c.servers.clock(),
	}})
}

func (c *cluster) submit(id string) {
	c.t.Helper()
	steps := []ledger.Step{{Count: 2, Need: ledger.Resources{CPU: 100}}, {Count: 1, Need: ledger.Resources{CPU: 100}, After: []int{0}}}
	r := c.do(&dispatch.Call{Op: dispatch.OpSubmit, Host: "h", Path: "/q/" + id, Job: &ledger.Submission{Spec: "s", Steps: steps}})
	must.EqOp(c.t, dispatch.OK, r.Outcome)
}

func (c *cluster) completed(id string) bool {
	c.announce()
	return c.do(&dispatch.Call{Op: dispatch.OpState, Host: "h", Path: "/q/" + id}).State == ledger.Completed
}

// A job runs to its end, survives the stop of the leader and the loss of a data folder, and runs once.
func TestJobsOutliveTheirLeaderAndADataFolder(t *testing.T) {
	c := newCluster(t, http.NotFoundHandler())
	must.EqOp(t, dispatch.OK, c.do(&dispatch.Call{Op: dispatch.OpPutConfig, Config: &accepted.Config{
		Version: 1, Raw: []byte(`{"version":1}`),
		Queues: []accepted.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", TimeoutMS: 1000, MaxAttempts: 2, Open: true}},
		Pools:  []accepted.Pool{{Name: "p", Guards: true}},
	}}).Outcome)
	c.announce()
	c.submit("first")
	c.until(func() bool { return c.completed("first") })

	c.stop[0]()
	must.NoError(t, os.RemoveAll(c.dirs[0]))
	c.submit("second")
	c.until(func() bool { return c.completed("second") })

	c.start(0, false) // another member, with an empty folder
	c.until(func() bool { return c.log.has("remove=" + c.peerAddress(0) + " ") })
	c.stop[1]()
	c.until(func() bool { return c.completed("first") && c.completed("second") })
	must.EqOp(t, `{"version":1}`, string(c.do(&dispatch.Call{Op: dispatch.OpGetConfig}).Config))
	c.submit("third")
	c.until(func() bool { return c.completed("third") })
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	must.MapLen(t, 9, c.servers.starts)
	for task, n := range c.servers.starts {
		must.EqOp(t, 1, n, must.Sprint(task))
	}
}

// Disks that are full for a while, one after the other, cost no acknowledged job, and the instances take part again.
func TestDisksThatWereFullTakePartAgain(t *testing.T) {
	c := newCluster(t, http.NotFoundHandler())
	must.EqOp(t, dispatch.OK, c.do(&dispatch.Call{Op: dispatch.OpPutConfig, Config: &accepted.Config{
		Version: 1, Raw: []byte(`{"version":1}`),
		Queues: []accepted.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", TimeoutMS: 1000, MaxAttempts: 2, Open: true}},
		Pools:  []accepted.Pool{{Name: "p", Guards: true}},
	}}).Outcome)
	for i := range c.disks {
		c.disks[i].full.Store(true)
		c.submit(fmt.Sprint("j", i))
		c.until(func() bool { return c.log.count("journal failed") > i })
		c.disks[i].full.Store(false)
		c.until(func() bool { return c.completed(fmt.Sprint("j", i)) })
		c.until(func() bool { return c.log.count("control log opened") > len(c.disks)+i })
	}
	for i := range c.disks {
		c.until(func() bool { return c.completed(fmt.Sprint("j", i)) })
	}
}

// An instance whose disk is full at its first start begins once there is room.
func TestDiskThatIsFullAtTheStart(t *testing.T) {
	c := newCluster(t, http.NotFoundHandler(), 2)
	c.until(func() bool { return c.log.count("data folder failed") > 1 })
	c.disks[2].full.Store(false)
	c.until(func() bool { return c.log.count("control log opened") == len(c.disks) })
}

// A call in progress at an instance that is told to stop gets its whole answer.
func TestPlannedStopCutsNoCall(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	c := newCluster(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(began)
		<-release
		_, _ = io.WriteString(w, "whole")
	}))
	c.until(func() bool { return c.listens(c.address(1, c.public)) })
	answer := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + c.address(1, c.public) + "/")
		if err != nil {
			answer <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body) // a part of it fails the test as well
		answer <- string(body)
	}()
	<-began
	go c.stop[1]()
	c.until(func() bool { return c.log.has("stopping") })
	time.Sleep(lameDuck)
	close(release)
	must.EqOp(t, "whole", <-answer)
	c.stop[1]()
}

func TestIdentity(t *testing.T) {
	s := DefaultSettings()
	s.PeerListen, s.Seeds, s.DataDir, s.FirstStart = "10.0.0.1:7000", []string{"10.0.0.1:80"}, t.TempDir(), true
	name, founder, err := identity(s)
	must.NoError(t, err)
	must.EqOp(t, "10.0.0.1:7000", name)
	must.True(t, founder)
	s.FirstStart = false
	again, founder, err := identity(s)
	must.NoError(t, err)
	must.EqOp(t, name, again)
	must.True(t, founder)
	s.DataDir = t.TempDir()
	other, founder, err := identity(s)
	must.NoError(t, err)
	must.StrHasPrefix(t, name+nameSeparator, other)
	must.False(t, founder)
}
