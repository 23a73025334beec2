package replica

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/process/journal"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// lastCommand is a state machine that holds only the newest command, as a configuration replaces the one before.
type lastCommand struct{ command []byte }

func (m *lastCommand) Apply(_ uint64, command []byte) []byte {
	m.command = command
	return nil
}
func (m *lastCommand) Snapshot() ([]byte, error) { return m.command, nil }
func (m *lastCommand) Restore(_ uint64, data []byte) error {
	m.command = data
	return nil
}

const (
	testKeepBytes = 1 << 20
	// largeCommandBytes is the size of a command that is large compared with the budget.
	largeCommandBytes = testKeepBytes / 8
)

// largeCommand returns a command of largeCommandBytes that differs for each i.
func largeCommand(i int) []byte {
	return fmt.Appendf(bytes.Repeat([]byte{'x'}, largeCommandBytes-20), "%20d", i)
}

// Guards against a log that is bounded in entries only: a few large commands then fill memory and disk.
func TestLogOfLargeCommandsStaysWithinBudget(t *testing.T) {
	c := newCluster(t)
	n := c.startWith(Options{Name: "a", Voters: voters("a"), Budget: BudgetFor(testKeepBytes*memoryFractionOfLog, 0), SnapshotEvery: 4096, KeepEntries: 4096}, &lastCommand{})
	c.await("a leader", func() bool { return c.leader() != "" })
	const bound = testKeepBytes + testKeepBytes/2 + 2*largeCommandBytes
	for i := range 100 {
		_, _, err := n.ProposeLocal(context.Background(), largeCommand(i))
		must.NoError(t, err)
		size := n.Status().Sizes
		must.LessEq(t, bound, size.EntryBytes, must.Sprint("entries in memory after ", i))
		must.LessEq(t, int64(bound+journal.DefaultSegmentBytes), size.SegmentBytes, must.Sprint("segments after ", i))
	}
	must.Greater(t, testKeepBytes/2, n.Status().Sizes.EntryBytes) // followers that lag a little are sent entries
}

// Guards against a bound that drops the entries of small commands, which a follower that lags a little needs.
func TestSmallCommandsAreKeptByNumber(t *testing.T) {
	c := newCluster(t)
	n := c.startWith(Options{Name: "a", Voters: voters("a"), SnapshotEvery: 40, KeepEntries: 30}, &lastCommand{})
	c.await("a leader", func() bool { return c.leader() != "" })
	for i := range 200 {
		_, _, err := n.ProposeLocal(context.Background(), fmt.Append(nil, i))
		must.NoError(t, err)
	}
	must.Between(t, 30, n.Status().Sizes.Entries, 30+40+2)
}

func TestBudgetFollowsLimits(t *testing.T) {
	for _, tt := range []struct {
		memory, disk int64 // MiB
		keep         int   // KiB
	}{{0, 0, 16 << 10}, {280, 128, 16 << 10}, {280, 106, 16 << 10}, {32, 0, 2 << 10}, {8, 8, 1 << 10}, {0, 48, 8 << 10}} {
		b := BudgetFor(tt.memory<<20, tt.disk<<20)
		must.Eq(t, tt.keep<<10, b.KeepBytes, must.Sprint(tt))
		must.Eq(t, b.KeepBytes/2, b.SnapshotBytes)
	}
}

// Guards against messages of other replicas that fill the memory while they wait to be handled: the sender is held up instead.
func TestReceiveWaitsBeyondBudget(t *testing.T) {
	dir := t.TempDir()
	n, err := Open(Options{Name: "a", Dir: dir, Voters: voters("a", "b"), Machine: &lastCommand{}, Transport: &memoryTransport{}, Budget: Budget{ReceiveBytes: 10 * largeCommandBytes}})
	must.NoError(t, err)
	message := []*laburnumv1.ReplicaMessage{{From: "b", To: "a", Data: mustMarshal(t, &laburnumv1.ConsensusMessage{Chunk: largeCommand(1)})}}
	taken := 0
	for range 100 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		if n.Receive(ctx, message) == nil {
			taken++
		}
		cancel()
	}
	must.Between(t, 8, taken, 10)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error)
	go func() { stopped <- n.Run(ctx) }()
	must.NoError(t, n.Receive(context.Background(), message), must.Sprint("taken once the others are handled"))
	cancel()
	must.NoError(t, <-stopped)
}

func mustMarshal(t *testing.T, m proto.Message) []byte {
	t.Helper()
	data, err := proto.Marshal(m)
	must.NoError(t, err)
	return data
}

// Guards against a follower that never catches up: a snapshot that replaces the one on its way begins the transfer anew. It must be
// taken before entries after that one are dropped.
func TestSnapshotWaitsForTransfer(t *testing.T) {
	o := Options{SnapshotEvery: 100, KeepEntries: 100, Budget: Budget{KeepBytes: 1600, SnapshotBytes: 800}}
	must.False(t, o.snapshotDue(99, 799, false))
	must.True(t, o.snapshotDue(100, 0, false))
	must.True(t, o.snapshotDue(1, 800, false))
	must.False(t, o.snapshotDue(99, 1399, true))
	must.True(t, o.snapshotDue(1, 1400, true))
	must.True(t, o.snapshotDue(100, 0, true))
}

// Guards against followers that don't come back during a storm of large commands, after a cut or with an empty folder.
func TestFollowerCatchesUpDuringStorm(t *testing.T) {
	c := newCluster(t)
	names := []string{"a", "b", "c"}
	start := func(name string, voters []*laburnumv1.Member) *Node {
		return c.startWith(Options{Name: name, Voters: voters, Join: voters == nil, Budget: BudgetFor(testKeepBytes*memoryFractionOfLog, 0), SnapshotEvery: 4096, KeepEntries: 4096}, &lastCommand{})
	}
	for _, name := range names {
		start(name, voters(names...))
	}
	// leader returns the present leader; on a busy machine it may change.
	leader := func() *Node {
		name := ""
		c.await("a leader", func() bool { name = c.leader(); return name != "" })
		return c.node(name)
	}
	committed := func() (index uint64) {
		for _, name := range append(names, "d") {
			if n := c.node(name); n != nil {
				index = max(index, n.Status().Committed)
			}
		}
		return index
	}
	storm := func(until func() bool) {
		for i := 0; !until(); i++ {
			must.Less(t, 5000, i, must.Sprint("commands until the follower caught up"))
			_, _, err := leader().ProposeLocal(context.Background(), largeCommand(i))
			must.True(t, err == nil || errors.Is(err, ErrOverloaded) || errors.Is(err, ErrNotLeader) || errors.Is(err, ErrOutcomeUnknown), must.Sprint(err))
		}
	}
	caughtUp := func(n *Node) func() bool {
		return func() bool { return n.Status().Applied > 0 && n.Status().Applied+20 > committed() }
	}
	count := func(n int) func() bool { return func() bool { n--; return n < 0 } }
	storm(count(10))
	lost := c.follower()
	c.stop(lost)
	storm(count(50)) // several times the budget
	back := start(lost, voters(names...))
	storm(caughtUp(back))

	c.stop(lost)
	joined := start("d", nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c.await("the learner to be added", func() bool { return leader().AddLearner(ctx, "d", "d") == nil })
	storm(caughtUp(joined))
	must.LessEq(t, 3*testKeepBytes, leader().Status().Sizes.EntryBytes)
}

// Guards against a log and snapshots that each keep to their share and together exceed the disk.
func TestFolderFitsOnDisk(t *testing.T) {
	must.Zero(t, BudgetFor(280*mib, 0).StateBytes, must.Sprint("no limit"))
	for _, memory := range []int64{0, 64 * mib, 280 * mib, 408 * mib} {
		least := LeastDisk(memory)
		for disk := least; disk <= 1024*mib; disk += mib {
			b := BudgetFor(memory, disk)
			must.LessEq(t, usableDisk(disk), int64(b.FolderPeakBytes()), must.Sprint(memory/mib, disk/mib))
			must.GreaterEq(t, minStateBytes, b.StateBytes)
		}
		must.Between(t, 40*mib, least, 64*mib)
		must.Greater(t, usableDisk(least-mib), int64(BudgetFor(memory, least-mib).FolderPeakBytes()))
	}
}

// Guards against a small process whose queue to another replica has no room for a chunk of a snapshot and what follows it: each heartbeat
// would drop the chunk, so that a replica that needs the snapshot never gets it.
func TestSmallestQueueHasRoomForSnapshotChunks(t *testing.T) {
	for _, memory := range []int64{0, 1 * mib, 16 * mib, 32 * mib, 64 * mib} {
		must.GreaterEq(t, 4*snapshotChunkBytes, BudgetFor(memory, 0).QueueBytes, must.Sprintf("memory of %d bytes", memory))
	}
}
