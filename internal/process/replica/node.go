package replica

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/semaphore"

	"laburnumrouter/internal/process/journal"
	"laburnumrouter/internal/process/logging"
	"laburnumrouter/internal/process/replica/core"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Defaults of Options.
const (
	DefaultTick           = 100 * time.Millisecond
	DefaultElectionTicks  = 10
	DefaultHeartbeatTicks = 3
	DefaultSnapshotEvery  = 512
	DefaultKeepEntries    = 512
)

const (
	// maxAppendBytes bounds a message with entries unless it has a single one. A member acknowledges each, so that a transfer that breaks off
	// goes on where it ended.
	maxAppendBytes     = 128 << 10
	snapshotChunkBytes = 256 << 10
	// snapshotRetryTicks is the time after which a snapshot that the disk had no room for is taken or written again.
	snapshotRetryTicks = 40
	// maxBatch is the maximum number of queued calls whose effects are made durable by one write.
	maxBatch      = 1024
	callQueueSize = 4096
)

// Options configures a Node. For the fields with a Default constant, zero means that default.
type Options struct {
	// Voters are the initial voters of the log, including this node. They are used at the first start only.
	Voters []*laburnumv1.Member
	// Join is set on a node that is to be added to an existing log. It starts without initial voters.
	Join bool
	Name string
	Dir  string
	// FS is the file system of the data folder; nil means the operating system's.
	FS        journal.FS
	Machine   StateMachine
	Transport Transport
	Log       hclog.Logger
	// Tick is the duration of one tick, the unit of ElectionTicks and HeartbeatTicks.
	Tick           time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// SnapshotEvery is the number of entries between snapshots. KeepEntries is the number of entries before a snapshot
	// that are kept for lagging followers.
	SnapshotEvery uint64
	KeepEntries   uint64
	// Budget bounds the log in bytes; a field that is zero means that of a process without limits.
	Budget Budget
	// Room is the number of bytes that the disk must have room for at Open; 0 means that it isn't tried. It keeps a replica whose disk
	// is all but full from leading until its next write fails.
	Room int
	// LeaderLease is set if the leader relies on not being replaced for ElectionTicks after a successful ReadIndex.
	// Each replica then also withholds its vote for the first ElectionTicks after its start.
	LeaderLease bool
	// HandoverTicks is the time after which a leader hands over if its disk lags behind those of a quorum; 0 means never.
	HandoverTicks int
	// BeforeHandover is called on a leader right before it hands over of its own accord, because its disk lags or fails. It
	// must not block. Afterwards this replica doesn't lead in the same term again.
	BeforeHandover func()
	// SerialCommits makes each command durable by a separate write, as a baseline for measurements.
	SerialCommits bool
}

func (o *Options) setDefaults() {
	if o.FS == nil {
		o.FS = journal.OS{}
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	if o.BeforeHandover == nil {
		o.BeforeHandover = func() {}
	}
	if o.Tick == 0 {
		o.Tick = DefaultTick
	}
	if o.ElectionTicks == 0 {
		o.ElectionTicks = DefaultElectionTicks
	}
	if o.HeartbeatTicks == 0 {
		o.HeartbeatTicks = DefaultHeartbeatTicks
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = DefaultSnapshotEvery
	}
	if o.KeepEntries == 0 {
		o.KeepEntries = DefaultKeepEntries
	}
	o.Budget = o.Budget.orDefaults()
}

// Node is a replica of the log. Only the goroutine of Run uses the consensus state; other goroutines queue functions
// for it in calls.
type Node struct {
	opts    Options
	journal *journal.Journal
	storage *storage
	core    *core.Core
	calls   chan func()
	status  atomic.Pointer[Status]
	members atomic.Pointer[[]*laburnumv1.Member]
	stopped chan struct{} // closed when Run no longer takes calls
	// running ends when stopped is closed.
	running   context.Context
	stop      context.CancelFunc
	receiving *semaphore.Weighted // bytes of the messages that Receive has queued
	largeLog  logging.Limit
	readLog   logging.Limit

	// The fields below are used by the goroutine of Run only.
	started            time.Time
	applied            uint64
	snapshotIndex      uint64
	bytesSinceSnapshot int
	savingSnapshot     bool // a snapshot of the own state machine is still to be written
	// retrySnapshot is when a snapshot is taken again for which the disk had no room; zero if it had room for the last one.
	retrySnapshot   time.Time
	proposalWaiters map[uint64]*proposalWaiter
	pendingReads    map[uint64]pendingRead
	nextRead        uint64
	appliedWaiters  []appliedWaiter
	dropReasons     map[string]core.DropReason
	electionLog     electionLog
	turn            turnLog
}

var _ Log = (*Node)(nil)

// Open opens the data folder, restores the state machine from its snapshot and returns a node that is ready for Run. Of a log
// that is larger than the budget it applies the committed entries at once and saves a snapshot of them if the disk has room for it.
func Open(opts Options) (*Node, error) {
	opts.setDefaults()
	loading := &loader{machine: opts.Machine}
	j, contents, err := journal.Open(opts.FS, opts.Dir, journal.Options{
		Node: opts.Name, Replica: randomID(),
		LogBytes: opts.Budget.KeepBytes + opts.Budget.SnapshotBytes, Restore: loading.restore, Apply: loading.apply,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	n := &Node{
		opts:            opts,
		journal:         j,
		storage:         newStorage(j, &opts),
		calls:           make(chan func(), callQueueSize),
		stopped:         make(chan struct{}),
		started:         time.Now(),
		proposalWaiters: make(map[uint64]*proposalWaiter),
		// Read ids start at a random number, so that a late answer to a read from before a restart matches none.
		nextRead:     randomID(),
		pendingReads: make(map[uint64]pendingRead),
		dropReasons:  make(map[string]core.DropReason),
		largeLog:     logging.Limit{Lines: 10, Every: time.Second},
		readLog:      logging.Limit{Lines: 5, Every: time.Second},
		turn:         turnLog{limit: logging.Limit{Lines: 5, Every: time.Second}},
		receiving:    semaphore.NewWeighted(int64(opts.Budget.ReceiveBytes)),
	}
	n.running, n.stop = context.WithCancel(context.Background())
	err = n.bootstrap(contents)
	if err == nil && contents.Applied > 0 {
		err = n.saveLoaded(contents, loading)
	}
	if err == nil && opts.Room > 0 {
		err = n.ensureRoom(contents, loading)
	}
	if err != nil {
		// Release the lock of the data folder, so that it can be opened again once the cause is gone.
		return nil, Error.Wrap(errs.Combine(err, j.Close(nil)))
	}
	n.startCore(contents)
	n.publishStatus()
	return n, nil
}

// bootstrap writes the initial voters to a data folder that holds no log yet.
func (n *Node) bootstrap(c *journal.Contents) error {
	cluster := clusterID(n.opts.Voters)
	holdsLog := c.Snapshot.Membership != nil || len(c.Entries) > 0
	if n.opts.Join || holdsLog || (c.HardState.Cluster != 0 && c.HardState.Cluster != cluster) {
		return nil
	}
	c.HardState.Cluster = cluster
	if err := n.journal.Append(c.HardState, nil); err != nil {
		return err
	}
	c.Snapshot.Membership = &laburnumv1.Membership{Members: n.opts.Voters}
	return n.journal.SaveSnapshot(c.Snapshot, nil, 0)
}

// clusterID derives the identifier of a log from the names of its initial voters.
func clusterID(voters []*laburnumv1.Member) uint64 {
	var names []string
	for _, v := range voters {
		names = append(names, v.Name)
	}
	slices.Sort(names)
	h := fnv.New64a()
	for _, name := range names {
		_, _ = h.Write([]byte(name))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

func (n *Node) startCore(c *journal.Contents) {
	n.applied, n.snapshotIndex = c.Snapshot.Index, c.Snapshot.Index
	n.core = core.New(core.Config{
		Name:           n.opts.Name,
		Replica:        c.Replica,
		ElectionTicks:  n.opts.ElectionTicks,
		HeartbeatTicks: n.opts.HeartbeatTicks,
		HandoverTicks:  n.opts.HandoverTicks,
		LeaderLease:    n.opts.LeaderLease,
		MaxAppendBytes: maxAppendBytes, MaxPendingBytes: n.opts.Budget.PendingBytes, MaxInflightBytes: n.opts.Budget.InflightBytes,
		Rand: rand.New(rand.NewPCG(c.Replica, randomID())),
	}, core.Persisted{HardState: c.HardState, Snapshot: c.Snapshot, Entries: c.Entries})
	segments, snapshot := n.journal.Sizes()
	n.opts.Log.Info("control log opened", "snapshot", c.Snapshot.Index, "entries", len(c.Entries),
		"term", c.HardState.Term, "cut_bytes", c.CutBytes, "segment_bytes", segments, "snapshot_bytes", snapshot)
}

func randomID() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// Run operates the node until ctx ends. If the node fails, for example because the journal cannot be written, it
// acknowledges nothing more; its status stays readable, and Run returns the error once ctx ends.
func (n *Node) Run(ctx context.Context) error {
	go n.storage.run()
	err := n.loop(ctx)
	close(n.stopped)
	n.stop()
	n.failAllWaiters()
	if err != nil {
		n.opts.Log.Error("control log failed; this instance commits nothing more", "error", err)
		n.publishFailure(err)
		<-ctx.Done()
	}
	n.storage.stop()
	closeErr := n.journal.Close(n.core.HardState())
	if err == nil {
		err = closeErr
	}
	return Error.Wrap(err)
}

func (n *Node) loop(ctx context.Context) error {
	ticker := time.NewTicker(n.opts.Tick)
	defer ticker.Stop()
	if err := n.processReady(); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.setTime()
			n.core.Tick()
			if n.core.StorageLags() {
				n.handOver("the disk of this instance lags behind the others'")
			}
		case call := <-n.calls:
			n.setTime()
			call()
			n.turn.calls = 1 + n.drainCalls()
		case result := <-n.storage.finished:
			n.setTime()
			if result.err != nil {
				return n.finishWithoutStorage(ctx, ticker, result.err)
			}
			n.completeTasks(result.tasks)
		}
		if err := n.processReady(); err != nil {
			return err
		}
		n.logTurn()
	}
}

// setTime tells the core the time before it handles an event, with which a turn begins.
func (n *Node) setTime() {
	n.turn.begin(time.Now())
	n.core.SetTime(time.Since(n.started))
}

// handOver lets this leader hand over to the best of the other replicas, if any is active.
func (n *Node) handOver(reason string) {
	successor := n.core.Successor()
	if successor == "" || n.core.Transferring() {
		return
	}
	n.opts.Log.Warn("leadership is handed over", "successor", successor, "reason", reason)
	n.opts.BeforeHandover()
	n.core.Abdicate()
}

// finishWithoutStorage is called once nothing can be made durable any more. A leader hands over first, which needs no
// storage, so that the others don't have to wait for an election timeout. It returns the cause.
func (n *Node) finishWithoutStorage(ctx context.Context, ticker *time.Ticker, cause error) error {
	if n.core.Status().Role == core.Leader {
		n.handOver("the disk of this instance has failed")
	}
	for n.core.Transferring() {
		if err := n.processReady(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return cause
		case <-ticker.C:
			n.core.Tick()
		case call := <-n.calls:
			call()
		}
	}
	return cause
}

// drainCalls runs the calls that are already queued, at most maxBatch, so that one write and one message make their
// effects known. It returns their number.
func (n *Node) drainCalls() (drained int) {
	for !n.opts.SerialCommits && drained < maxBatch {
		select {
		case call := <-n.calls:
			call()
			drained++
		default:
			return drained
		}
	}
	return drained
}

// enqueue queues f for the goroutine of Run. It returns false if f was not queued. If Run stops, a queued f may not
// run either.
func (n *Node) enqueue(ctx context.Context, f func()) bool {
	select {
	case <-n.stopped:
		return false
	default:
	}
	select {
	case n.calls <- f:
		return true
	case <-ctx.Done():
		return false
	case <-n.stopped:
		return false
	}
}

// Receive queues messages from other replicas. It waits while Budget.ReceiveBytes of them are queued.
func (n *Node) Receive(ctx context.Context, messages []*laburnumv1.ReplicaMessage) error {
	bytes := int64(0)
	for _, m := range messages {
		bytes += int64(len(m.Data))
	}
	release, ok := n.reserveReceive(ctx, min(bytes, int64(n.opts.Budget.ReceiveBytes)))
	if !ok {
		return errNotTaken
	}
	batch, err := n.decodeMessages(messages)
	if err != nil {
		release()
		return Error.Wrap(err)
	}
	ok = n.enqueue(ctx, func() {
		defer release()
		for _, m := range batch {
			if m.To != n.opts.Name {
				continue // addressed to an earlier member at this address
			}
			n.logDropReason(m.From, n.core.Step(m))
		}
	})
	if !ok {
		release()
		return errNotTaken
	}
	return nil
}

var errNotTaken = Error.New("messages not taken: the replica has stopped or is overloaded")

// reserveReceive waits until messages of a size may be queued. It returns false if ctx or Run ends before.
func (n *Node) reserveReceive(ctx context.Context, bytes int64) (release func(), ok bool) {
	release = func() { n.receiving.Release(bytes) }
	if n.receiving.TryAcquire(bytes) {
		return release, true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.running, cancel)()
	return release, n.receiving.Acquire(ctx, bytes) == nil
}

// logDropReason logs when the messages of a replica begin to be ignored, or are ignored for another reason.
func (n *Node) logDropReason(from string, drop core.DropReason) {
	if n.dropReasons[from] == drop {
		return
	}
	n.dropReasons[from] = drop
	if drop != "" {
		n.opts.Log.Warn("messages ignored", "peer", from, "reason", string(drop))
	}
}
