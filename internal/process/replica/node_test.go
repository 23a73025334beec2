package replica

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"laburnumrouter/internal/process/journal"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	testTick    = 5 * time.Millisecond
	testTimeout = 20 * time.Second
)

// recordingMachine is a state machine that records all applied commands.
type recordingMachine struct {
	mu       sync.Mutex
	commands []string
	restored uint64
}

func (l *recordingMachine) Apply(index uint64, command []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = append(l.commands, string(command))
	return fmt.Appendf(nil, "%d", index)
}

func (l *recordingMachine) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return []byte(strings.Join(l.commands, "\n")), nil
}

func (l *recordingMachine) Restore(index uint64, data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands, l.restored = strings.Split(string(data), "\n"), index
	return nil
}

func (l *recordingMachine) allCommands() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.commands)
}

func (l *recordingMachine) count(command string) (n int) {
	for _, c := range l.allCommands() {
		if c == command {
			n++
		}
	}
	return n
}

// cluster is a set of nodes connected in memory.
type cluster struct {
	t   *testing.T
	dir string

	mu          sync.Mutex
	nodes       map[string]*Node
	machines    map[string]*recordingMachine
	stops       map[string]func()
	loseAnswers bool // forwarded commands are executed, but their answers are lost
}

func newCluster(t *testing.T) *cluster {
	return &cluster{
		t: t, dir: t.TempDir(),
		nodes: make(map[string]*Node), machines: make(map[string]*recordingMachine), stops: make(map[string]func()),
	}
}

func (c *cluster) node(name string) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name]
}

// memoryTransport is the in-memory transport of one node.
type memoryTransport struct {
	cluster *cluster
}

func (l *memoryTransport) Send(to *laburnumv1.Member, messages []*laburnumv1.ReplicaMessage) {
	if n := l.cluster.node(to.Name); n != nil {
		go func() { _ = n.Receive(context.Background(), messages) }()
	}
}

func (l *memoryTransport) Propose(ctx context.Context, to *laburnumv1.Member, command []byte) ([]byte, uint64, error) {
	n := l.cluster.node(to.Name)
	if n == nil {
		return nil, 0, ErrNotLeader
	}
	result, index, err := n.ProposeLocal(ctx, command)
	if l.cluster.loseAnswers && err == nil {
		return nil, 0, ErrOutcomeUnknown
	}
	return result, index, err
}

func (c *cluster) start(opts Options) *Node {
	c.t.Helper()
	machine := &recordingMachine{}
	c.mu.Lock()
	c.machines[opts.Name] = machine
	c.mu.Unlock()
	opts.SnapshotEvery, opts.KeepEntries = 40, 5
	return c.startWith(opts, machine)
}

// startWith starts a node with a state machine of its own.
func (c *cluster) startWith(opts Options, machine StateMachine) *Node {
	c.t.Helper()
	opts.Dir = filepath.Join(c.dir, opts.Name)
	opts.Machine, opts.Transport, opts.Tick = machine, &memoryTransport{cluster: c}, testTick
	n, err := Open(opts)
	must.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[opts.Name] = n
	c.stops[opts.Name] = sync.OnceFunc(func() { cancel(); <-done })
	c.t.Cleanup(c.stops[opts.Name])
	return n
}

func voters(names ...string) (list []*laburnumv1.Member) {
	for _, name := range names {
		list = append(list, &laburnumv1.Member{Name: name, Address: name})
	}
	return list
}

func (c *cluster) startAll(names ...string) {
	for _, name := range names {
		c.start(Options{Name: name, Voters: voters(names...)})
	}
}

// stop stops a node without transferring its leadership.
func (c *cluster) stop(name string) {
	c.mu.Lock()
	stop := c.stops[name]
	delete(c.nodes, name)
	c.mu.Unlock()
	stop()
}

func (c *cluster) await(what string, ok func() bool) {
	c.t.Helper()
	must.Wait(c.t, wait.InitialSuccess(wait.BoolFunc(ok), wait.Timeout(testTimeout), wait.Gap(testTick)), must.Sprint(what))
}

func (c *cluster) leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, n := range c.nodes {
		if n.Status().IsLeader {
			return name
		}
	}
	return ""
}

// follower waits for a leader and returns another node, or the leader if it is the only one.
func (c *cluster) follower() string {
	c.t.Helper()
	c.await("a leader", func() bool { return c.leader() != "" })
	leader := c.leader()
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.nodes {
		if name != leader {
			return name
		}
	}
	return leader
}

func (c *cluster) propose(name, command string) string {
	c.t.Helper()
	result, err := c.node(name).Propose(context.Background(), []byte(command))
	must.NoError(c.t, err)
	return string(result)
}

func TestProposalOnAnyNodeIsAppliedOnAll(t *testing.T) {
	c := newCluster(t)
	c.startAll("a", "b", "c")
	for i, name := range []string{"a", "b", "c"} {
		command := fmt.Sprint("command ", i)
		c.propose(name, command)
		must.Eq(t, 1, c.machines[name].count(command)) // already applied on the proposing node
	}
	must.NoError(t, c.node(c.follower()).ReadIndex(context.Background()))
	c.await("all logs to be equal", func() bool {
		return len(c.machines["a"].allCommands()) == 3 && slices.Equal(c.machines["a"].allCommands(), c.machines["b"].allCommands()) &&
			slices.Equal(c.machines["a"].allCommands(), c.machines["c"].allCommands())
	})
}

func TestRestartedNodeRecoversFromSnapshot(t *testing.T) {
	c := newCluster(t)
	c.startAll("a", "b", "c")
	first := c.follower()
	c.propose(first, "before")
	lost := c.leader()
	c.stop(lost)
	for i := range 300 {
		c.propose(c.follower(), fmt.Sprint("command ", i))
	}
	c.start(Options{Name: lost, Voters: voters("a", "b", "c")})
	c.await("the restarted node to catch up", func() bool { return len(c.machines[lost].allCommands()) == 301 })
	must.Positive(t, c.machines[lost].restored) // from a snapshot: the entries before it were compacted

	// After a restart of all nodes, all acknowledged commands are recovered from the snapshot and the log after it.
	for _, name := range []string{"a", "b", "c"} {
		c.stop(name)
	}
	c.startAll("a", "b", "c")
	must.NoError(t, c.node("a").ReadIndex(context.Background()))
	must.Eq(t, 301, len(c.machines["a"].allCommands()))
	must.Eq(t, "before", c.machines["a"].allCommands()[0])
	must.Positive(t, c.machines["a"].restored)
}

func TestProposalWithLostAnswerIsNotResent(t *testing.T) {
	c := newCluster(t)
	c.startAll("a", "b", "c")
	follower := c.follower()
	c.propose(follower, "warm-up")
	c.loseAnswers = true
	_, err := c.node(follower).Propose(context.Background(), []byte("refund"))
	must.True(t, errors.Is(err, ErrOutcomeUnknown))
	c.loseAnswers = false
	c.propose(follower, "later")
	must.Eq(t, 1, c.machines[follower].count("refund"))
}

func TestReplacedVoterFormsQuorumAfterLeaderLoss(t *testing.T) {
	c := newCluster(t)
	c.startAll("a", "b", "c")
	c.propose(c.follower(), "before")
	// Besides the leader's empty entry and the command, one entry records the identifiers of the data folders.
	c.await("the data folders to be recorded", func() bool { return c.node("a").Status().Committed >= 3 })
	lost := c.follower()
	c.stop(lost)
	d := c.start(Options{Name: "d", Join: true})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	must.NoError(t, c.node(c.leader()).AddVoter(ctx, "d", "d"))
	must.NoError(t, c.node(c.leader()).RemoveMember(ctx, lost))
	c.await("the voters to be known", func() bool { return slices.Contains(d.Status().Voters, "d") && len(d.Status().Voters) == 3 })

	// The leader is lost right after the replacement.
	c.stop(c.leader())
	c.propose("d", "after")
	must.Eq(t, []string{"before", "after"}, c.machines["d"].allCommands())
}

func TestTransferLeadershipEndsLeadership(t *testing.T) {
	c := newCluster(t)
	c.startAll("a", "b", "c")
	c.propose(c.follower(), "before")
	old := c.leader()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c.node(old).TransferLeadership(ctx)
	must.False(t, c.node(old).Status().IsLeader)
	c.propose(old, "after")
}

var errDiskFull = errors.New("no space left on device")

// fullFS is a file system whose syncs fail while it is full.
type fullFS struct {
	journal.OS
	mu   sync.Mutex
	full bool
}

type fullFile struct {
	journal.File
	fs *fullFS
}

func (f *fullFS) Create(path string) (journal.File, error) {
	file, err := f.OS.Create(path)
	return &fullFile{File: file, fs: f}, err
}

func (f *fullFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.full {
		return errDiskFull
	}
	return f.File.Sync()
}

func (f *fullFS) setFull(full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = full
}

func TestFullDiskStopsAcknowledging(t *testing.T) {
	c := newCluster(t)
	fs := &fullFS{}
	n := c.start(Options{Name: "a", Voters: voters("a"), FS: fs})
	c.propose("a", "before")
	fs.setFull(true)
	_, err := n.Propose(context.Background(), []byte("lost"))
	must.True(t, errors.Is(err, ErrOutcomeUnknown))
	fs.setFull(false)
	_, err = n.Propose(context.Background(), []byte("later"))
	must.Error(t, err)
	c.await("the failure to be shown", func() bool { return strings.Contains(n.Status().Failure, "no space left") })
	must.False(t, n.Status().IsLeader)
	must.False(t, n.Status().QuorumAlive)
	must.Eq(t, []string{"before"}, c.machines["a"].allCommands())
}

// TestConcurrentCommandsShareSyncs checks that concurrent commands need fewer than half as many syncs as commands,
// while SerialCommits needs at least one for each.
func TestConcurrentCommandsShareSyncs(t *testing.T) {
	const commands = 400
	syncs := func(serial bool) int {
		fs := &countingFS{}
		c := newCluster(t)
		n := c.start(Options{Name: "a", Voters: voters("a"), FS: fs, SerialCommits: serial})
		c.propose("a", "warm-up")
		before := fs.count()
		var group sync.WaitGroup
		for range commands {
			group.Go(func() { _, _ = n.Propose(context.Background(), []byte("x")) })
		}
		group.Wait()
		return fs.count() - before
	}
	must.GreaterEq(t, commands, syncs(true))
	must.Less(t, commands/2, syncs(false))
}

type countingFS struct {
	journal.OS
	mu    sync.Mutex
	syncs int
}

type countingFile struct {
	journal.File
	fs *countingFS
}

func (f *countingFS) Create(path string) (journal.File, error) {
	file, err := f.OS.Create(path)
	return &countingFile{File: file, fs: f}, err
}

func (f *countingFile) Sync() error {
	f.fs.mu.Lock()
	f.fs.syncs++
	f.fs.mu.Unlock()
	return f.File.Sync()
}

func (f *countingFS) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncs
}

// Guards against reads that are kept for ever because their callers left before a quorum confirmed the leader.
func TestReadsOfCallersThatLeftAreDropped(t *testing.T) {
	c := newCluster(t)
	c.startAll("a", "b", "c")
	c.await("a leader", func() bool { return c.leader() != "" })
	leader := c.leader()
	for _, name := range []string{"a", "b", "c"} {
		if name != leader {
			c.stop(name)
		}
	}
	n := c.node(leader)
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), testTick)
		must.Error(t, n.ReadIndex(ctx))
		cancel()
	}
	c.await("no pending reads", func() bool {
		pending := make(chan int, 1)
		n.enqueue(context.Background(), func() { pending <- len(n.pendingReads) })
		return <-pending == 0
	})
}
