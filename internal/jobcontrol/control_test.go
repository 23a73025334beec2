package jobcontrol

import (
	"context"
	"encoding/json"
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

// fakeServers implements dispatch.Servers with one backend server, on which every run completes at once.
type fakeServers struct {
	mu        sync.Mutex
	startedAt time.Time
	fence     uint64
	finished  []dispatch.FinishedTask
	starts    map[string]int // by task
}

func (d *fakeServers) clock() int64 { return time.Since(d.startedAt).Milliseconds() }

func (d *fakeServers) Start(_ context.Context, _ dispatch.Target, o dispatch.StartOrder) (dispatch.StartAnswer, int64, error) {
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
	return dispatch.StartAccepted, d.clock(), nil
}

func (d *fakeServers) Stop(context.Context, dispatch.Target, dispatch.StopOrder) error { return nil }

func (d *fakeServers) Hold(_ context.Context, _ dispatch.Target, o dispatch.HoldOrder) (*dispatch.HoldReport, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if o.Fence < d.fence {
		return nil, dispatch.ErrFenced
	}
	d.fence = o.Fence
	d.finished = slices.DeleteFunc(d.finished, func(f dispatch.FinishedTask) bool { return f.Number <= o.AckedEnd })
	return &dispatch.HoldReport{ClockMS: d.clock(), Born: 1, Finished: slices.Clone(d.finished)}, nil
}

func (d *fakeServers) Pace(context.Context, dispatch.Target, dispatch.PaceOrder) error { return nil }

// cluster is three control instances in this process, each with its own loopback address.
type cluster struct {
	t          *testing.T
	servers    *fakeServers
	publicPort int
	peerPort   int
	// peerBindPort is the port of PeerBind; 0 leaves it empty.
	peerBindPort int
	dirs         [4]string
	stop         [4]func()
	client       *leader.Client
	seq          int64
	log          logBuffer
	handler      http.Handler // handles the operators' calls; nil means statusHandler
	disks        [4]disk
	// volumes replace disks where they are set; diskMB is their size by the settings.
	volumes [4]*volume
	diskMB  int64
}

// disk is a file system whose writes fail with ENOSPC while full is set.
type disk struct {
	journal.OS
	full     atomic.Bool
	refused  atomic.Int64  // writes that failed
	syncTime time.Duration // what a sync takes longer; set before an instance uses the disk
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
		f.disk.refused.Add(1)
		return 0, syscall.ENOSPC
	}
	return f.File.Write(p)
}

func (f diskFile) Sync() error {
	time.Sleep(f.disk.syncTime)
	return f.File.Sync()
}

// logBuffer collects the log output of the instances.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) count(part string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), part)
}

func (l *logBuffer) has(part string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), part)
}

// freePort returns a port that is free at all four addresses.
func freePort(t *testing.T) int {
	t.Helper()
	for range 50 {
		first, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		port := first.Addr().(*net.TCPAddr).Port
		free := true
		for _, host := range []string{"127.0.0.2", "127.0.0.3", "127.0.0.4"} {
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

// founders is the number of instances that newCluster starts.
const founders = 3

// newCluster starts three instances. The disks of the instances listed in full are full at the start.
func newCluster(t *testing.T, operators http.Handler, full ...int) *cluster {
	t.Helper()
	c := prepareCluster(t, operators)
	for _, i := range full {
		c.disks[i].full.Store(true)
	}
	c.startFounders()
	return c
}

// prepareCluster returns a cluster of which no instance runs yet.
func prepareCluster(t *testing.T, operators http.Handler) *cluster {
	t.Helper()
	c := &cluster{
		t: t, servers: &fakeServers{startedAt: time.Now(), starts: make(map[string]int)}, publicPort: freePort(t),
		handler: operators,
	}
	for c.peerPort = freePort(t); c.peerPort == c.publicPort; {
		c.peerPort = freePort(t)
	}
	for i := range c.dirs {
		c.dirs[i] = t.TempDir()
	}
	t.Cleanup(func() {
		for _, stop := range c.stop {
			if stop != nil {
				stop()
			}
		}
	})
	c.client = leader.NewClient(PeerAddresses(c.seeds(), c.peerAddress(0)), nil, hclog.NewNullLogger())
	return c
}

func (c *cluster) startFounders() {
	for i := range founders {
		c.start(i, true)
	}
}

func (c *cluster) address(i, port int) string { return fmt.Sprintf("127.0.0.%d:%d", i+1, port) }

func (c *cluster) peerAddress(i int) string { return c.address(i, c.peerPort) }

func (c *cluster) seeds() []string {
	return []string{c.address(0, c.publicPort), c.address(1, c.publicPort), c.address(2, c.publicPort)}
}

func (c *cluster) start(i int, first bool) { c.startWith(i, first, c.seeds(), nil) }

// bindPeers makes the instances that are started later listen for other processes at another port than they advertise.
func (c *cluster) bindPeers(port int) { c.peerBindPort = port }

// startWith starts an instance with the given seeds; reload reads them anew.
func (c *cluster) startWith(i int, first bool, seeds []string, reload func() ([]string, error)) {
	c.t.Helper()
	s := DefaultSettings()
	s.Name, s.DataCentre = fmt.Sprintf("control-%d", i), "dc"
	s.Listen, s.PeerListen, s.DataDir = c.address(i, c.publicPort), c.peerAddress(i), c.dirs[i]
	s.Seeds, s.FirstStart = seeds, first
	s.DiskMB = c.diskMB
	if c.peerBindPort != 0 {
		s.PeerBind = c.address(i, c.peerBindPort)
	}
	var faults settings.Faults
	s.Check(&faults)
	must.EqOp(c.t, 0, len(faults.List()))
	deps := Dependencies{Servers: c.servers, FS: &c.disks[i], ReloadSeeds: reload, Public: func(do func(context.Context, *dispatch.Call) *dispatch.Reply) http.Handler {
		if c.handler == nil {
			return statusHandler(do)
		}
		return c.handler
	}}
	if c.volumes[i] != nil {
		deps.FS = c.volumes[i]
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	log := hclog.New(&hclog.LoggerOptions{Output: &c.log, Level: hclog.Info})
	go func() {
		err := Run(ctx, s, deps, log)
		if ctx.Err() == nil {
			log.Error("instance ended by itself", "error", err)
		}
		done <- err
	}()
	c.stop[i] = sync.OnceFunc(func() {
		cancel()
		if err := <-done; deps.FS == &c.disks[i] {
			must.NoError(c.t, err)
		}
	})
}

// do repeats a call until it is executed.
func (c *cluster) do(call *dispatch.Call) *dispatch.Reply {
	c.t.Helper()
	var reply *dispatch.Reply
	c.waitUntil(func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		again := *call
		reply = c.client.Do(ctx, &again)
		return reply.Outcome != dispatch.Unavailable && reply.Outcome != dispatch.OutcomeUnknown
	})
	return reply
}

func (c *cluster) waitUntil(f func() bool) {
	c.t.Helper()
	must.Wait(c.t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(60*time.Second), wait.Gap(20*time.Millisecond)))
}

// isListening reports whether an address accepts connections.
func (c *cluster) isListening(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

func (c *cluster) announce() {
	c.seq++
	c.do(&dispatch.Call{Op: dispatch.OpAnnounce, Server: &ledger.Server{
		ID: "i-1", Pool: "p", Address: "x", Capacity: ledger.Resources{CPU: 8000, MemMB: 8000}, Born: 1, Seq: c.seq, ClockMS: c.servers.clock(), DataCentre: "dc",
	}})
}

// configure puts a configuration with one open queue in force.
func (c *cluster) configure() {
	c.t.Helper()
	must.EqOp(c.t, dispatch.OK, c.do(&dispatch.Call{Op: dispatch.OpPutConfig, Config: rollingConfig(1)}).Outcome)
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

// An instance behind a proxy is a member at the address that it advertises, and listens at another one.
func TestInstanceBindsOtherAddressThanItAdvertises(t *testing.T) {
	c := newCluster(t, http.NotFoundHandler())
	for c.bindPeers(freePort(t)); c.peerBindPort == c.peerPort || c.peerBindPort == c.publicPort; {
		c.bindPeers(freePort(t))
	}
	c.start(3, false)
	c.waitUntil(func() bool { return c.isListening(c.address(3, c.peerBindPort)) })
	must.False(t, c.isListening(c.peerAddress(3)))
	c.waitUntil(func() bool { return c.log.has(c.peerAddress(3) + nameSeparator) })
}

// Jobs complete, and each task runs once, although two instances are stopped one after the other, and the first
// comes back without its data folder.
func TestJobsSurviveStopsAndLossOfDataFolder(t *testing.T) {
	c := newCluster(t, http.NotFoundHandler())
	c.configure()
	c.announce()
	c.submit("first")
	c.waitUntil(func() bool { return c.completed("first") })

	c.stop[0]()
	must.NoError(t, os.RemoveAll(c.dirs[0]))
	c.submit("second")
	c.waitUntil(func() bool { return c.completed("second") })

	c.start(0, false) // joins as a new member, with an empty data folder
	c.waitUntil(func() bool { return c.log.has("remove=" + c.peerAddress(0) + " ") })
	c.stop[1]()
	c.waitUntil(func() bool { return c.completed("first") && c.completed("second") })
	must.EqOp(t, `{"version":1}`, string(c.do(&dispatch.Call{Op: dispatch.OpGetConfig}).Config))
	c.submit("third")
	c.waitUntil(func() bool { return c.completed("third") })
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	must.MapLen(t, 9, c.servers.starts)
	for task, n := range c.servers.starts {
		must.EqOp(t, 1, n, must.Sprint(task))
	}
}

// Guards against an evacuation that is forgotten when all instances are restarted and one of them has lost its disk: a job
// would start at once.
func TestEvacuationSurvivesRestartOfAllInstances(t *testing.T) {
	c := newCluster(t, http.NotFoundHandler())
	must.EqOp(t, dispatch.OK, c.do(&dispatch.Call{Op: dispatch.OpPutConfig, Config: &accepted.Config{
		Version: 1, Raw: []byte(`{"version":1}`),
		Queues: []accepted.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", TimeoutMS: 1000, MaxAttempts: 2, Open: true}},
		Pools:  []accepted.Pool{{Name: "p", Guards: true}},
	}}).Outcome)
	c.announce()
	order := &ledger.EvacuationOrder{DataCentre: "dc", Evacuate: true}
	must.EqOp(t, dispatch.Invalid, c.do(&dispatch.Call{Op: dispatch.OpEvacuate, Evacuation: &ledger.EvacuationOrder{DataCentre: "other"}}).Outcome)
	for range 2 {
		must.EqOp(t, dispatch.OK, c.do(&dispatch.Call{Op: dispatch.OpEvacuate, Evacuation: order}).Outcome)
	}
	c.submit("j")
	var stopped sync.WaitGroup
	for i := range founders {
		stopped.Go(c.stop[i])
	}
	stopped.Wait()
	must.NoError(t, os.RemoveAll(c.dirs[0]))
	for i := range founders {
		c.start(i, false)
	}
	for range 10 {
		must.False(t, c.completed("j"))
		time.Sleep(200 * time.Millisecond)
	}
	c.servers.mu.Lock()
	must.MapEmpty(t, c.servers.starts)
	c.servers.mu.Unlock()
	must.EqOp(t, dispatch.OK, c.do(&dispatch.Call{Op: dispatch.OpEvacuate, Evacuation: &ledger.EvacuationOrder{DataCentre: "dc"}}).Outcome)
	c.waitUntil(func() bool { return c.completed("j") })
}

// An instance whose only seed doesn't lead joins the log nevertheless: the seed names the members.
func TestInstanceJoinsThroughFollower(t *testing.T) {
	c := newCluster(t, http.NotFoundHandler())
	c.waitUntil(func() bool { return c.do(&dispatch.Call{Op: dispatch.OpStatus}).Status != nil })
	leader := c.do(&dispatch.Call{Op: dispatch.OpStatus}).Leader
	follower := 0
	if leader == c.address(0, c.publicPort) {
		follower = 1
	}
	c.startWith(3, false, []string{c.address(follower, c.publicPort)}, nil)
	c.waitUntil(func() bool { return c.log.has("add=" + c.peerAddress(3) + nameSeparator) })
}

// All seeds that an instance was started with are gone. It joins once its settings name others.
func TestInstanceJoinsThroughNewSeeds(t *testing.T) {
	c := newCluster(t, http.NotFoundHandler())
	var seeds atomic.Pointer[[]string]
	seeds.Store(&[]string{"127.0.0.1:1"})
	c.startWith(3, false, *seeds.Load(), func() ([]string, error) { return *seeds.Load(), nil })
	next := c.seeds()
	seeds.Store(&next)
	c.waitUntil(func() bool { return c.log.has("add=" + c.peerAddress(3) + nameSeparator) })
}

// One disk after the other is full for a while: no acknowledged job is lost, and each instance rejoins.
func TestInstancesRejoinAfterFullDisk(t *testing.T) {
	c := newCluster(t, http.NotFoundHandler())
	c.configure()
	for i := range founders {
		c.disks[i].full.Store(true)
		c.submit(fmt.Sprint("j", i))
		c.waitUntil(func() bool { return c.log.count("journal failed: ") > i })
		c.disks[i].full.Store(false)
		c.waitUntil(func() bool { return c.completed(fmt.Sprint("j", i)) })
		c.waitUntil(func() bool { return c.log.count("control log opened") > founders+i })
	}
	for i := range founders {
		c.waitUntil(func() bool { return c.completed(fmt.Sprint("j", i)) })
	}
}

// Guards against changes that stay refused or unanswered after disks were full in turn, one right after the other, while changes came:
// the leader's among them, three rounds. After the last disk has room again, changes are taken and none of the acknowledged is lost.
func TestChangesAreTakenAfterDisksWereFullInTurn(t *testing.T) {
	c := newCluster(t, http.NotFoundHandler())
	c.configure()
	config := rollingConfig(1)
	for round := range 3 {
		for i := range founders {
			writes, failures := c.log.count("journal failed: "), c.log.count("the data folder failed")
			c.disks[i].full.Store(true)
			c.waitUntil(func() bool {
				config = rollingConfig(config.Version + 1)
				ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
				defer cancel()
				c.client.Do(ctx, &dispatch.Call{Op: dispatch.OpPutConfig, Config: config}) // it may stay unanswered
				return c.log.count("journal failed: ") > writes && c.log.count("the data folder failed") > failures+round
			})
			c.disks[i].full.Store(false)
		}
		config = rollingConfig(config.Version + 1)
		must.EqOp(t, dispatch.OK, c.do(&dispatch.Call{Op: dispatch.OpPutConfig, Config: config}).Outcome)
		must.Eq(t, config.Raw, c.do(&dispatch.Call{Op: dispatch.OpGetConfig}).Config)
		c.submit(fmt.Sprint("j", round))
	}
	for round := range 3 {
		c.waitUntil(func() bool { return c.completed(fmt.Sprint("j", round)) })
	}
}

// rollingConfig is the configuration of configure under another version.
func rollingConfig(version int64) *accepted.Config {
	return &accepted.Config{
		Version: version, Raw: fmt.Appendf(nil, `{"version":%d}`, version),
		Queues: []accepted.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", TimeoutMS: 1000, MaxAttempts: 2, Open: true}},
		Pools:  []accepted.Pool{{Name: "p", Guards: true}},
	}
}

// An instance whose disk is full at its first start retries until there is space.
func TestStartIsRetriedWhileDiskIsFull(t *testing.T) {
	c := newCluster(t, http.NotFoundHandler(), 2)
	c.waitUntil(func() bool { return c.log.count("data folder failed") > 1 })
	c.disks[2].full.Store(false)
	c.waitUntil(func() bool { return c.log.count("control log opened") == founders })
}

// A call in progress on an instance that is stopped gets its complete response.
func TestPlannedStopCompletesCallsInProgress(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	c := newCluster(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(w, "whole")
	}))
	c.waitUntil(func() bool { return c.isListening(c.address(1, c.publicPort)) })
	answer := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + c.address(1, c.publicPort) + "/")
		if err != nil {
			answer <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body) // a truncated body fails the comparison below
		answer <- string(body)
	}()
	<-started
	go c.stop[1]()
	c.waitUntil(func() bool { return c.log.has("stopping") })
	time.Sleep(drainPeriod)
	close(release)
	must.EqOp(t, "whole", <-answer)
	c.stop[1]()
}

func TestMemberNameIsKeptUntilDataFolderIsReplaced(t *testing.T) {
	s := DefaultSettings()
	s.PeerListen, s.Seeds, s.DataDir, s.FirstStart = "10.0.0.1:7000", []string{"10.0.0.1:80"}, t.TempDir(), true
	name, founder, err := loadOrCreateIdentity(s)
	must.NoError(t, err)
	must.EqOp(t, "10.0.0.1:7000", name)
	must.True(t, founder)
	s.FirstStart = false
	again, founder, err := loadOrCreateIdentity(s)
	must.NoError(t, err)
	must.EqOp(t, name, again)
	must.True(t, founder)
	s.DataDir = t.TempDir()
	other, founder, err := loadOrCreateIdentity(s)
	must.NoError(t, err)
	must.StrHasPrefix(t, name+nameSeparator, other)
	must.False(t, founder)
}

// Guards against a misspelt list of data centres, with which orders for an existing one would be refused.
func TestDataCentresAreChecked(t *testing.T) {
	for list, faults := range map[string]int{"": 0, "dc1": 0, "dc2 dc1": 0, "dc2": 1, "dc1 dc1": 1, "dc1 A": 1} {
		s := DefaultSettings()
		s.Name, s.DataCentre, s.Listen, s.PeerListen = "c", "dc1", "10.0.0.1:80", "10.0.0.1:7000"
		s.DataDir, s.Seeds, s.DataCentres = "d", []string{"10.0.0.1:80"}, strings.Fields(list)
		var found settings.Faults
		s.Check(&found)
		must.SliceLen(t, faults, found.List(), must.Sprint(list))
	}
}

// Guards against reads that only the leader answers, and against a format of the log that is never raised although all members
// understand it.
func TestFollowersAnswerReads(t *testing.T) {
	c := newCluster(t, http.NotFoundHandler())
	c.configure()
	c.submit("j")
	for i := range founders {
		c.waitUntil(func() bool {
			body := strings.NewReader(`{"Op":"pending","Host":"h","Path":"/q/"}`)
			resp, err := http.Post("http://"+c.peerAddress(i)+leader.CallPath, "application/json", body)
			if err != nil {
				return false
			}
			defer func() { _ = resp.Body.Close() }()
			var reply dispatch.Reply
			return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&reply) == nil && reply.Pending == 1
		})
	}
	c.waitUntil(func() bool { return c.log.has("format of the log raised") })
}

// Guards against a log without the limit of the disk, where the platform gives it in the environment.
func TestLimitOfDisk(t *testing.T) {
	for _, tt := range []struct {
		setting     int64
		environment string
		want        int64
		fails       bool
	}{{0, "", 0, false}, {0, "106", 106 << 20, false}, {64, "106", 64 << 20, false}, {0, "0", 0, false}, {0, "much", 0, true}, {0, "-1", 0, true}} {
		got, err := (&Settings{DiskMB: tt.setting}).diskBytes(tt.environment)
		must.EqOp(t, tt.fails, err != nil)
		must.EqOp(t, tt.want, got)
	}
}
