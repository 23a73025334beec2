package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/journal"
	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// fleetConfig returns a configuration with a number of queues, as it may be sent.
func fleetConfig(version int64, queues int) *accepted.Config {
	c := &accepted.Config{Version: version, Pools: []accepted.Pool{{Name: "p"}}}
	for i := range queues {
		c.Queues = append(c.Queues, accepted.Queue{
			Name: fmt.Sprintf("queue-%06d", i), Host: "h", Prefix: fmt.Sprintf("/%06d/", i*7919), Pool: "p", TimeoutMS: 2500, MaxAttempts: 3, Open: true,
		})
	}
	c.Raw, _ = json.Marshal(c)
	return c
}

// withVersion returns a copy with another version and other bytes.
func withVersion(c *accepted.Config, version int64) *accepted.Config {
	next := *c
	next.Version, next.Raw = version, fmt.Appendf(bytes.Clone(c.Raw), "%12d", version)
	return &next
}

// noPeers is the transport of a log with a single replica.
type noPeers struct{}

func (noPeers) Send(*laburnumv1.Member, []*laburnumv1.ReplicaMessage) {}
func (noPeers) Propose(context.Context, *laburnumv1.Member, []byte) ([]byte, uint64, error) {
	return nil, 0, replica.ErrNotLeader
}

// Guards against a log, in memory or on disk, that grows with the number of changes of a large configuration: a day's changes at the rate
// to design for, one after the other in virtual time. Packed or not, it stays within its budget, and a restart has the last one.
func TestManyChangesOfLargeConfiguration(t *testing.T) {
	const queues = 120
	budget := replica.BudgetFor(16<<20, 0)
	for format, changes := range map[int]int{ledger.FormatPackedConfig - 1: 300, ledger.NewestFormat: 1800} {
		t.Run(fmt.Sprint("format ", format), func(t *testing.T) {
			dir := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				open := func() (*replica.Node, *Engine, func()) {
					engine := NewEngine(hclog.NewNullLogger())
					node, err := replica.Open(replica.Options{
						Name: "a", Voters: []*laburnumv1.Member{{Name: "a"}}, Dir: dir, Machine: engine, Transport: noPeers{},
						Tick: 50 * time.Millisecond, SnapshotEvery: 4096, KeepEntries: 4096, Budget: budget,
					})
					must.NoError(t, err)
					ctx, stop := context.WithCancel(context.Background())
					done := make(chan error)
					go func() { done <- node.Run(ctx) }()
					for !node.Status().IsLeader {
						time.Sleep(time.Second)
					}
					return node, engine, sync.OnceFunc(func() { stop(); must.NoError(t, <-done) })
				}
				node, engine, stop := open()
				defer func() { stop() }()
				commit := func(c *ledger.Command) {
					data, err := c.Encode()
					must.NoError(t, err)
					_, _, err = node.ProposeLocal(context.Background(), data)
					must.NoError(t, err)
					size := node.Status().Sizes
					must.LessEq(t, budget.KeepBytes+budget.SnapshotBytes+len(data)+100, size.EntryBytes)
					must.LessEq(t, int64(budget.KeepBytes+budget.SnapshotBytes+2*journal.DefaultSegmentBytes+len(data)), size.SegmentBytes)
				}
				commit(&ledger.Command{Format: format})
				first := fleetConfig(1, queues)
				var last *accepted.Config
				for i := range changes {
					last = withVersion(first, int64(i+1))
					command, err := ledger.ConfigCommand(last, format)
					must.NoError(t, err)
					must.EqOp(t, format >= ledger.FormatPackedConfig, command.PackedConfig != nil)
					commit(command)
				}
				must.EqOp(t, int64(changes), engine.ledger.Config.Version)
				stop()
				node, engine, stop = open()
				must.NoError(t, node.ReadIndex(context.Background()))
				must.True(t, bytes.Equal(last.Raw, engine.ledger.Config.Raw))
			})
		})
	}
}

// Guards against a leader that is taken for dead because its status waits for a long change of the state, and against limits of an
// earlier configuration after a restart.
func TestLimitsAreReadWhileStateIsBusy(t *testing.T) {
	r := newRig(t, newFakeServers())
	config := randomConfig(2, 0)
	config.Limits = accepted.Limits{HeaderBytes: 1000, BodyBytes: 2000}
	config.Raw = nil
	config.Raw, _ = json.Marshal(config)
	must.EqOp(t, OK, r.do(&Call{Op: OpPutConfig, Config: config}).Outcome)
	snapshot, err := r.engine.Snapshot()
	must.NoError(t, err)
	restored := NewEngine(hclog.NewNullLogger())
	must.EqOp(t, accepted.Limits{}, (&Dispatcher{engine: restored}).Limits())
	must.NoError(t, restored.Restore(1, snapshot))
	for _, e := range []*Engine{r.engine, restored} {
		limits := make(chan accepted.Limits, 1)
		e.mu.Lock()
		go func() { limits <- (&Dispatcher{engine: e}).Limits() }()
		select {
		case got := <-limits:
			must.EqOp(t, config.Limits, got)
		case <-time.After(5 * time.Second):
			t.Error("the limits wait for the state")
		}
		e.mu.Unlock()
	}
}
