package dispatch

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

// split returns the manifest and all chunks of a configuration.
func split(t *testing.T, c *accepted.Config) (*accepted.Manifest, []accepted.Chunk) {
	t.Helper()
	m, parts, err := c.Split()
	must.NoError(t, err)
	chunks, _, err := takeChunks(parts, m.Distinct())
	must.NoError(t, err)
	return m, chunks
}

// commands records the commands of a log about configurations from now on.
func (r *rig) commands() func() []ledger.Command {
	var mu sync.Mutex
	var list []ledger.Command
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	r.log.beforePropose = func(data []byte) {
		var c ledger.Command
		_ = json.Unmarshal(data, &c)
		mu.Lock()
		defer mu.Unlock()
		if c.Config != nil || c.PackedConfig != nil || c.Manifest != nil || len(c.Chunks) > 0 {
			list = append(list, c)
		}
	}
	return func() []ledger.Command {
		mu.Lock()
		defer mu.Unlock()
		return list
	}
}

// handIn hands a configuration in as an instance does that doesn't lead.
func (r *rig) handIn(m *accepted.Manifest, chunks []accepted.Chunk) *Reply {
	r.t.Helper()
	reply := r.do(&Call{Op: OpPutConfig, Manifest: m})
	for range 3 {
		if len(reply.Missing) == 0 {
			break
		}
		for i := range chunks {
			r.do(&Call{Op: OpStageConfig, Chunks: chunks[i : i+1]})
		}
		reply = r.do(&Call{Op: OpPutConfig, Manifest: m})
	}
	return reply
}

// lapsing is a leader lease that lapses after it was held once.
type lapsing struct{ asked int }

func (l *lapsing) Held() bool {
	l.asked++
	return l.asked == 1
}

// Guards against copies of a configuration in the log for tries whose answer was lost, and against an answer from the state of an
// instance that may have been replaced meanwhile.
func TestDecidedConfigurationIsAnsweredWithoutProposal(t *testing.T) {
	r := newRig(t, newFakeServers())
	config, older, other := randomConfig(3, 100_000), randomConfig(2, 100_000), randomConfig(3, 50_000)
	must.EqOp(t, OK, r.do(&Call{Op: OpPutConfig, Config: config}).Outcome)
	proposed := r.commands()
	for _, test := range []struct {
		config *accepted.Config
		want   Outcome
	}{{config, OK}, {older, OK}, {other, Conflict}} {
		m, _ := split(t, test.config)
		must.EqOp(t, test.want, r.do(&Call{Op: OpPutConfig, Config: test.config}).Outcome)
		must.EqOp(t, test.want, r.do(&Call{Op: OpPutConfig, Manifest: m}).Outcome)
	}
	must.SliceEmpty(t, proposed())
	s := r.d.activeSession()
	s.leaderLease = &lapsing{asked: 1}
	_, err := s.decidedConfig(&accepted.Manifest{Version: 1})
	must.Error(t, err)
}

// Guards against calls with the same configuration that are each proposed, and against chunks that are proposed again while they are on
// their way through the log.
func TestCallsWithSameConfigurationShareProposals(t *testing.T) {
	r := newRig(t, newFakeServers())
	proposed := r.commands()
	config := randomConfig(2, 200_000)
	m, chunks := split(t, config)
	var calls sync.WaitGroup
	for i := range 8 {
		calls.Go(func() {
			reply, err := &Reply{}, error(nil)
			if i%2 == 0 {
				reply, err = r.d.Do(context.Background(), &Call{Op: OpPutConfig, Config: config})
			} else {
				reply = r.handIn(m, chunks)
			}
			if err != nil || reply.Outcome != OK {
				t.Error("not in force", err, reply)
			}
		})
	}
	calls.Wait()
	staged, manifests := make(map[string]int), 0
	for _, c := range proposed() {
		must.Nil(t, c.PackedConfig)
		must.Nil(t, c.Config)
		if c.Manifest != nil {
			manifests++
		}
		size := 0
		for _, chunk := range c.Chunks {
			staged[string(chunk.Digest)]++
			must.EqOp(t, 1, staged[string(chunk.Digest)])
			size += len(chunk.Data)
		}
		must.LessEq(t, max(MaxStageBytes, 80<<10), size)
	}
	must.EqOp(t, len(m.Distinct()), len(staged))
	must.Between(t, 1, manifests, 2) // one of the whole configuration, one of the manifest
	must.EqOp(t, string(config.Raw), string(r.do(&Call{Op: OpGetConfig}).Config))
}

// Guards against a configuration in chunks that is in force although it is invalid, damaged or incomplete, and against one that only
// some members understand.
func TestConfigurationInChunksIsCheckedByLeader(t *testing.T) {
	r := newRig(t, newFakeServers())
	invalid := randomConfig(2, 100_000)
	invalid.Queues[0].Pool = "unknown"
	m, chunks := split(t, invalid)
	reply := r.do(&Call{Op: OpPutConfig, Manifest: m})
	must.EqOp(t, Unavailable, reply.Outcome)
	must.Eq(t, m.Distinct(), reply.Missing)
	must.True(t, reply.Chunked)
	must.EqOp(t, Invalid, r.handIn(m, chunks).Outcome)
	damaged := accepted.Chunk{Digest: chunks[0].Digest, Data: chunks[1].Data}
	must.EqOp(t, Invalid, r.do(&Call{Op: OpStageConfig, Chunks: []accepted.Chunk{damaged}}).Outcome)
	must.EqOp(t, Invalid, r.do(&Call{Op: OpPutConfig, Manifest: &accepted.Manifest{Version: 2}}).Outcome)
	valid, others := split(t, randomConfig(2, 100_000))
	swapped := *valid
	swapped.Sent = make([]byte, len(valid.Sent))
	must.EqOp(t, Invalid, r.handIn(&swapped, others).Outcome)
	must.EqOp(t, "{}", string(r.do(&Call{Op: OpGetConfig}).Config))
	r.engine.mu.Lock()
	r.engine.ledger.Format = ledger.FormatConfigChunks - 1
	r.engine.mu.Unlock()
	must.True(t, r.do(&Call{Op: OpPutConfig, Manifest: valid}).Whole)
	must.True(t, r.do(&Call{Op: OpStageConfig, Chunks: others[:1]}).Whole)
}

// Guards against a large configuration that is sent whole because it came before the first regular check of the members' formats.
func TestFormatIsRaisedForLargeConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newSlowLog()
		d, stop := leadInBubble(t, log, func(context.Context) int { return ledger.NewestFormat })
		began := time.Now()
		reply, err := d.Do(context.Background(), &Call{Op: OpPutConfig, Config: randomConfig(2, 100_000)})
		must.NoError(t, err)
		must.EqOp(t, OK, reply.Outcome)
		must.Less(t, formatCheckInterval, time.Since(began))
		must.StrContains(t, strings.Join(log.recorded(0), ""), `"Manifest":`)
		stop()
	})
}

// Guards against chunks of earlier and coming configurations that fill a small disk.
func TestSmallDiskTakesConfigurationsWhole(t *testing.T) {
	for disk, whole := range map[int64]bool{4 << 20: true, 48 << 20: true, 106 << 20: false, 0: false} {
		must.EqOp(t, whole, LimitsFor(280<<20, replica.BudgetFor(280<<20, disk)).WholeConfigs)
	}
	r := newRig(t, newFakeServers())
	r.d.limits.WholeConfigs = true
	r.d.endSession("the limits have changed")
	r.until(r.d.Leads)
	proposed := r.commands()
	config := randomConfig(2, 100_000)
	m, chunks := split(t, config)
	must.True(t, r.do(&Call{Op: OpPutConfig, Manifest: m}).Whole)
	must.True(t, r.do(&Call{Op: OpStageConfig, Chunks: chunks[:1]}).Whole)
	must.EqOp(t, OK, r.do(&Call{Op: OpPutConfig, Config: config}).Outcome)
	must.SliceLen(t, 1, proposed())
}

// Guards against staged chunks that fill the disk of every replica.
func TestChunksWithoutRoomAreRejected(t *testing.T) {
	const state = 1 << 20
	r, _ := full(t, Limits{StateBytes: state, CommandBytes: state / 4})
	proposed := r.commands()
	_, chunks := split(t, randomConfig(2, state/4))
	var reply *Reply
	for i := range chunks {
		if reply = r.do(&Call{Op: OpStageConfig, Chunks: chunks[i : i+1]}); reply.Outcome != OK {
			break
		}
	}
	must.EqOp(t, Unavailable, reply.Outcome)
	must.Positive(t, reply.RetryAfterMS)
	snapshot, err := r.engine.Snapshot()
	must.NoError(t, err)
	must.LessEq(t, state, len(snapshot))
	must.Less(t, len(chunks), len(proposed()))
}

// Guards against an invalid configuration that is acknowledged because its version is overtaken.
func TestInvalidConfigurationOfOvertakenVersionIsRejected(t *testing.T) {
	r := newRig(t, newFakeServers())
	must.EqOp(t, OK, r.do(&Call{Op: OpPutConfig, Config: randomConfig(3, 100_000)}).Outcome)
	for _, size := range []int{0, 100_000} {
		invalid := randomConfig(2, size)
		invalid.Queues[0].Pool = "unknown"
		must.EqOp(t, Invalid, r.do(&Call{Op: OpPutConfig, Config: invalid}).Outcome, must.Sprint(size))
	}
}

// Guards against chunks that an instance is asked for though its configuration, decoded by another release, hasn't these.
func TestOnlyCallsWithSameChunksShareProposal(t *testing.T) {
	r := newRig(t, newFakeServers())
	m, chunks := split(t, randomConfig(2, 100_000))
	for i := range chunks {
		must.EqOp(t, OK, r.do(&Call{Op: OpStageConfig, Chunks: chunks[i : i+1]}).Outcome)
	}
	proposed, goOn := make(chan struct{}), make(chan struct{})
	r.log.mu.Lock()
	r.log.beforePropose = func(data []byte) {
		if strings.Contains(string(data), `"Manifest"`) {
			close(proposed)
			<-goOn
		}
	}
	r.log.mu.Unlock()
	var first sync.WaitGroup
	first.Go(func() { _, _ = r.d.Do(context.Background(), &Call{Op: OpPutConfig, Manifest: m}) })
	<-proposed
	other := *m
	other.Chunks = slices.Clone(m.Chunks)
	other.Chunks[0] = make([]byte, len(m.Sent))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	reply, err := r.d.Do(ctx, &Call{Op: OpPutConfig, Manifest: &other})
	close(goOn)
	first.Wait()
	must.NoError(t, err)
	must.Eq(t, other.Chunks[:1], reply.Missing)
}

// Guards against a configuration that is never accepted because the log drops its first chunks before the last ones come.
func TestConfigurationWithMoreChunksThanAreStagedMovesWhole(t *testing.T) {
	r := newRig(t, newFakeServers())
	config := randomConfig(2, 5<<20)
	config.Raw = nil
	config.Raw, _ = json.MarshalIndent(config, "", " ") // shares no chunks with the decoded parts
	must.EqOp(t, OK, r.do(&Call{Op: OpPutConfig, Config: config}).Outcome)
}

// Guards against an acknowledgement of a configuration whose chunks the log dropped while its manifest was on its way.
func TestManifestWithoutItsChunksIsNotAcknowledged(t *testing.T) {
	r := newRig(t, newFakeServers())
	m, chunks := split(t, randomConfig(2, 100_000))
	for i := range chunks {
		must.EqOp(t, OK, r.do(&Call{Op: OpStageConfig, Chunks: chunks[i : i+1]}).Outcome)
	}
	r.log.mu.Lock()
	r.log.beforePropose = func(data []byte) {
		if strings.Contains(string(data), `"Manifest"`) {
			r.engine.mu.Lock()
			defer r.engine.mu.Unlock()
			r.engine.ledger.Staged = r.engine.ledger.Staged[1:]
			r.engine.ledger.Reindex()
		}
	}
	r.log.mu.Unlock()
	reply := r.do(&Call{Op: OpPutConfig, Manifest: m})
	must.EqOp(t, Unavailable, reply.Outcome)
	must.Eq(t, m.Distinct()[:1], reply.Missing)
	must.EqOp(t, "{}", string(r.do(&Call{Op: OpGetConfig}).Config))
	for _, v := range []ledger.Verdict{"", ledger.Incomplete, ledger.Malformed} {
		must.NotEq(t, OK, verdictReply(v).Outcome)
	}
}
