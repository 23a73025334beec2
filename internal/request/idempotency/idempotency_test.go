package idempotency

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/version/machine"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	completed = laburnumv1.RecordState_RECORD_STATE_COMPLETED
	unknown   = laburnumv1.RecordState_RECORD_STATE_UNKNOWN
	notRun    = laburnumv1.RecordState_RECORD_STATE_NOT_RUN
	started   = laburnumv1.RecordState_RECORD_STATE_STARTED
)

func TestRepeatGetsRecordedOutcome(t *testing.T) {
	c := newCluster("e1.1", "e2.1")
	a, b := c.nodes["e1.1"], c.nodes["e2.1"]
	v, own, err := a.begin("dc1/x")
	must.NoError(t, err)
	must.Eq(t, Run, v)

	v, _, _ = b.begin("dc1/x")
	must.Eq(t, InProgress, v)
	v, _, _ = b.recorder.Begin(context.Background(), "dc1/x", "soap", []byte("other"))
	must.Eq(t, Conflict, v)
	v, _, _ = b.recorder.Begin(context.Background(), "dc1/x", "drum", []byte("digest"))
	must.Eq(t, Run, v) // keys are scoped by workspace

	must.NoError(t, a.finish(own, completed, "paid"))
	for _, n := range c.nodes {
		v, kept, _ := n.begin("dc1/x")
		must.Eq(t, Replay, v)
		must.Eq(t, "paid", string(kept.Response.Body))
	}
	v, _, err = b.begin("dc9/x")
	must.ErrorIs(t, err, ErrNoGroup)
	must.Eq(t, OutcomeUnknown, v)
}

func TestKeyIsFreeAgainOnlyIfNothingRan(t *testing.T) {
	for state, want := range map[laburnumv1.RecordState]Verdict{notRun: Run, unknown: OutcomeUnknown, completed: Replay} {
		c := newCluster("e1.1", "e2.1")
		_, own, _ := c.nodes["e1.1"].begin("dc1/x")
		must.NoError(t, c.nodes["e1.1"].finish(own, state, "a"))
		v, _, err := c.nodes["e2.1"].begin("dc1/x")
		must.NoError(t, err)
		must.Eq(t, want, v)
	}
}

func TestLargeAnswerIsNotStored(t *testing.T) {
	c := newCluster("e1.1", "e2.1")
	_, own, _ := c.nodes["e1.1"].begin("dc1/x")
	must.NoError(t, c.nodes["e1.1"].finish(own, completed, strings.Repeat("x", maxResponseBytes)))
	v, _, _ := c.nodes["e2.1"].begin("dc1/x")
	must.Eq(t, ResponseNotStored, v)
}

func TestRepeatAfterOwnerIsLostHasUnknownOutcome(t *testing.T) {
	failures := map[string]func(c *cluster){
		"gone":                             func(c *cluster) { c.nodes["e1.1"].down = true },
		"restarted":                        func(c *cluster) { c.nodes["e1.1"] = nil; c.start("e1.2") },
		"its request ended without Finish": func(c *cluster) { c.nodes["e1.1"].owners = NewOwners(nil) },
	}
	for name, f := range failures {
		t.Run(name, func(t *testing.T) {
			c := newCluster("e1.1", "e2.1", "e3.1")
			v, _, _ := c.nodes["e1.1"].begin("dc1/x") // recorded, but it is unknown whether it was dispatched
			must.Eq(t, Run, v)
			f(c)
			c.commit([]string{"e2.1", "e3.1"}, nil, 0)
			for range 3 {
				v, _, err := c.nodes["e3.1"].begin("dc1/x")
				must.NoError(t, err)
				must.Eq(t, OutcomeUnknown, v)
			}
		})
	}
}

func TestRecordsSurviveMemberLossRightAfterRepair(t *testing.T) {
	c := newCluster("e1.1", "e2.1")
	var keys []string
	for i := range 2000 { // more than a page
		key := fmt.Sprintf("dc1/%d", i)
		v, own, _ := c.nodes["e1.1"].begin(key)
		must.Eq(t, Run, v)
		must.NoError(t, c.nodes["e1.1"].finish(own, completed, strings.Repeat("a", 200)))
		keys = append(keys, key)
	}
	c.nodes["e1.1"].down = true
	c.repair([]string{"e2.1"}, "e3.1")
	c.nodes["e2.1"].down = true
	c.repair([]string{"e3.1"}, "e4.1")
	c.nodes["e3.1"].down = true
	c.commit([]string{"e4.1"}, nil, 0)
	for _, key := range keys {
		v, kept, err := c.nodes["e4.1"].begin(key)
		must.NoError(t, err)
		must.Eq(t, Replay, v)
		must.Eq(t, 200, len(kept.Response.Body))
	}
}

func TestRecordWrittenToLearnerSurvivesPromotion(t *testing.T) {
	c := newCluster("e1.1")
	c.start("e2.1")
	c.commit([]string{"e1.1"}, []string{"e2.1"}, 0)
	c.nodes["e2.1"].fetch()
	v, _, _ := c.nodes["e1.1"].begin("dc1/x") // after the learner fetched the records, before its promotion
	must.Eq(t, Run, v)
	c.commit([]string{"e1.1", "e2.1"}, nil, 0)
	c.nodes["e1.1"].down = true
	c.commit([]string{"e2.1"}, nil, 0)
	v, _, _ = c.nodes["e2.1"].begin("dc1/x")
	must.Eq(t, OutcomeUnknown, v)
}

func TestWithdrawalOfContenderKeepsWinner(t *testing.T) {
	s := NewStore()
	s.SetGroup("e2.1", &laburnumv1.RecordGroup{DataCentre: "dc1", Epoch: 1, Members: []string{"e1.1", "e2.1"}}, false)
	put := func(owner string, state laburnumv1.RecordState) *laburnumv1.Record {
		r := &laburnumv1.Record{Key: "dc1/x", Team: "soap", Owner: owner, State: state}
		return s.Put(time.UnixMilli(1_800_000_000_000), &laburnumv1.PutRecordRequest{Epoch: 1, Member: "e2.1", Record: r}).Record
	}
	put("loser", started) // arrives first here, but the first member has accepted the winner
	put("winner", started)
	must.Eq(t, "winner", put("loser", notRun).Owner)
	must.Nil(t, put("winner", notRun))
}

func uuidV7Key(t time.Time) string {
	var u uuid.UUID
	ms := t.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	u[6], u[8], u[15] = 0x70, 0x80, byte(rand.Int())
	return "dc1/" + u.String()
}

func TestGroupRestartMakesOutcomeOfOlderKeysUnknown(t *testing.T) {
	c := newCluster("e1.1", "e2.1")
	old := uuidV7Key(c.now)
	v, _, _ := c.nodes["e1.1"].begin(old)
	must.Eq(t, Run, v)
	delete(c.nodes, "e1.1")
	delete(c.nodes, "e2.1")
	n := c.start("e1.2")
	since := c.now.Add(MaxClockSkew)
	c.commit([]string{"e1.2"}, nil, since.UnixMilli())
	cases := []struct {
		name string
		key  string
		at   time.Time
		want Verdict
	}{
		{"an id from before the restart", old, since.Add(time.Second), OutcomeUnknown},
		{"an id from within the clock skew", uuidV7Key(since.Add(-time.Second)), since.Add(time.Second), OutcomeUnknown},
		{"an id without time", "dc1/refund-7", since.Add(time.Second), OutcomeUnknown},
		{"an id without time at the end of the retention", "dc1/refund-7", since.Add(Retention - time.Second), OutcomeUnknown},
		{"an id without time after the retention", "dc1/refund-7", since.Add(Retention + time.Second), Run},
		{"an id from after the restart", uuidV7Key(since.Add(2 * time.Second)), since.Add(2 * time.Second), Run},
		{"an id from the future", uuidV7Key(since.Add(time.Hour)), since.Add(2 * time.Second), OutcomeUnknown},
		{"an id so old that its record has expired", uuidV7Key(since.Add(time.Second)), since.Add(Retention), OutcomeUnknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c.now = tc.at
			v, _, err := n.begin(tc.key)
			must.NoError(t, err)
			must.Eq(t, tc.want, v)
		})
	}
}

func TestOldEpochIsRefused(t *testing.T) {
	c := newCluster("e1.1", "e2.1")
	a, b := c.nodes["e1.1"], c.nodes["e2.1"]
	a.laggingGroup = c.group
	c.commit([]string{"e2.1"}, nil, 0) // e1 was removed but still sees the old group
	ctx, cancel := context.WithTimeout(context.Background(), 4*retryInterval)
	defer cancel()
	_, _, err := a.recorder.Begin(ctx, "dc1/x", "soap", []byte("digest"))
	must.ErrorIs(t, err, ErrUnreachable)
	v, _, err := b.begin("dc1/x")
	must.NoError(t, err)
	must.Eq(t, Run, v)
}

func TestBeginGivesUpAfterOneAttemptWithoutRepair(t *testing.T) {
	c := newCluster("e1.1", "e2.1")
	c.nodes["e2.1"].down = true
	a := c.nodes["e1.1"]
	a.recorder.RepairExpected = func() bool { return false } // cut off from the control log
	var writes atomic.Int32
	c.drop = func(*laburnumv1.PutRecordRequest) (bool, bool) { writes.Add(1); return false, false }
	_, _, err := a.begin("dc1/x")
	must.ErrorIs(t, err, ErrUnreachable)
	must.Eq(t, 4, writes.Load()) // one attempt at two members, and its withdrawal
	c.nodes["e2.1"].down = false
	v, _, err := a.begin("dc1/x") // nothing ran, and no record was left behind
	must.NoError(t, err)
	must.Eq(t, Run, v)
}

func TestFencedMemberRefusesWrites(t *testing.T) {
	c := newCluster("e1.1")
	s := c.nodes["e1.1"].store
	s.SetGroup("e1.1", c.group, true)
	req := &laburnumv1.PutRecordRequest{Epoch: 1, Member: "e1.1", Record: &laburnumv1.Record{Key: "dc1/x", State: started}}
	must.True(t, s.Put(c.now, req).Refused)
	s.SetGroup("e1.1", c.group, false)
	must.False(t, s.Put(c.now, req).Refused)
}

func TestFullStoreRefusesNewRecordsAndKeepsOld(t *testing.T) {
	s := NewStore()
	s.SetGroup("e1.1", &laburnumv1.RecordGroup{DataCentre: "dc1", Epoch: 1, Members: []string{"e1.1"}}, false)
	now := time.UnixMilli(1_800_000_000_000)
	put := func(workspace, key string) *laburnumv1.PutRecordResponse {
		r := &laburnumv1.Record{Key: key, Team: workspace, Owner: key, State: started}
		return s.Put(now, &laburnumv1.PutRecordRequest{Epoch: 1, Member: "e1.1", Record: r})
	}
	for i := range maxWorkspaceRecords {
		must.False(t, put("soap", fmt.Sprint("dc1/", i)).Full)
	}
	must.True(t, put("soap", "dc1/more").Full)
	must.False(t, put("drum", "dc1/more").Full) // another workspace still has room
	must.NotNil(t, put("soap", "dc1/0").Record)
	now = now.Add(Retention + time.Second)
	must.False(t, put("soap", "dc1/more").Full)
	records, bytes := s.Count()
	must.Eq(t, 1, records) // the others have expired
	must.Less(t, 2000, bytes)
}

// TestKeyRunsAtMostOnceUnderLossAndGroupChanges guards against two runs of one key. It sends concurrent requests with
// the same keys to all entries while messages are lost and the group changes.
func TestKeyRunsAtMostOnceUnderLossAndGroupChanges(t *testing.T) {
	c := newCluster("e1.1", "e2.1", "e3.1")
	var rngMu sync.Mutex
	rng := rand.New(rand.NewPCG(7, 11))
	chance := func(percent int) bool {
		rngMu.Lock()
		defer rngMu.Unlock()
		return rng.IntN(100) < percent
	}
	c.drop = func(*laburnumv1.PutRecordRequest) (bool, bool) { return chance(4), chance(4) }
	entries := []*node{c.nodes["e1.1"], c.nodes["e2.1"], c.nodes["e3.1"]}
	var mu sync.Mutex
	runs := make(map[string]int)
	serve := func(n *node, key string) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		v, own, err := n.recorder.Begin(ctx, key, "soap", []byte("digest"))
		if err != nil || v != Run {
			return
		}
		mu.Lock()
		runs[key]++
		mu.Unlock()
		_ = n.finish(own, completed, key)
	}
	var wg sync.WaitGroup
	for w := range 12 {
		wg.Go(func() {
			for i := range 25 {
				serve(entries[w%len(entries)], fmt.Sprintf("dc1/%d", i))
			}
		})
	}
	wg.Go(func() {
		groups := [][]string{{"e1.1", "e2.1"}, {"e2.1"}, {"e2.1", "e1.1"}, {"e1.1", "e3.1"}, {"e3.1", "e1.1", "e2.1"}}
		for i := range 40 {
			next := groups[i%len(groups)]
			c.changeGroup(next)
			time.Sleep(2 * time.Millisecond)
		}
	})
	wg.Wait()
	// A record whose withdrawal was lost keeps its key from running: its outcome is unknown, which is safe. So not every
	// key has run.
	must.Greater(t, 12, len(runs))
	for key, n := range runs {
		must.Eq(t, 1, n, must.Sprint(key))
	}
}

// changeGroup changes the group as GroupPlanner.Plan does: new entries are learners before they become members.
func (c *cluster) changeGroup(members []string) {
	old := c.nodes["e1.1"].Group("dc1").Members
	var remaining, learners []string
	for _, m := range members {
		if contains(old, m) {
			remaining = append(remaining, m)
		} else {
			learners = append(learners, m)
		}
	}
	if len(remaining) == 0 {
		return
	}
	c.commit(remaining, learners, 0)
	for _, l := range learners {
		c.nodes[l].fetch()
	}
	if len(learners) > 0 {
		c.commit(append(remaining, learners...), nil, 0)
	}
}

func contains(list []string, m string) bool {
	for _, x := range list {
		if x == m {
			return true
		}
	}
	return false
}

// machineLog applies records to the state machine of the control log.
type machineLog struct {
	mu    sync.Mutex
	m     *machine.Machine
	index uint64
	fail  bool
}

func (l *machineLog) Commit(_ context.Context, r *laburnumv1.GlobalRecord) (*laburnumv1.GlobalRecord, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	batch := &laburnumv1.RecordBatch{Records: []*laburnumv1.GlobalRecord{proto.Clone(r).(*laburnumv1.GlobalRecord)}}
	result, _ := l.m.Apply(l.index, &laburnumv1.Command{AtUnixMs: 1000, Kind: &laburnumv1.Command_Records{Records: batch}})
	if l.fail {
		return nil, errLost
	}
	return result.Records[0], nil
}

func TestKeysWithoutDataCentreUseControlLog(t *testing.T) {
	c := newCluster("e1.1", "e2.1")
	log := &machineLog{m: machine.New()}
	recorder := func(id string) *KeyRouter {
		n := c.nodes[id]
		never := func(string) bool { return false }
		return &KeyRouter{DataCentres: n.recorder, ControlLog: &LogRecorder{Log: log, Network: n, Owners: n.owners, MayHaveExpired: never}}
	}
	a, b := recorder("e1.1"), recorder("e2.1")
	begin := func(k *KeyRouter, key string) Verdict {
		v, _, err := k.Begin(context.Background(), key, "soap", []byte("digest"))
		must.NoError(t, err)
		return v
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	runs := 0
	for i := range 20 {
		wg.Go(func() {
			if v := begin([]*KeyRouter{a, b}[i%2], "same"); v == Run {
				mu.Lock()
				defer mu.Unlock()
				runs++
			}
		})
	}
	wg.Wait()
	must.Eq(t, 1, runs)

	v, own, _ := a.Begin(context.Background(), "x", "soap", []byte("digest"))
	must.Eq(t, Run, v)
	must.Eq(t, InProgress, begin(b, "x"))
	must.NoError(t, a.Finish(context.Background(), own, completed, &laburnumv1.StoredResponse{Body: []byte("paid")}))
	v, kept, _ := b.Begin(context.Background(), "x", "soap", []byte("digest"))
	must.Eq(t, Replay, v)
	must.True(t, bytes.Equal([]byte("paid"), kept.Response.Body))

	_, own, _ = a.Begin(context.Background(), "y", "soap", []byte("digest"))
	must.NoError(t, a.Finish(context.Background(), own, notRun, nil))
	must.Eq(t, Run, begin(b, "y"))
	c.nodes["e2.1"].down = true // killed after its record was written, before it ended
	must.Eq(t, OutcomeUnknown, begin(a, "y"))

	log.fail = true // the record is committed but the answer is lost, so the request is not dispatched
	_, _, err := a.Begin(context.Background(), "z", "soap", []byte("digest"))
	must.Error(t, err)
	log.fail = false
	must.Eq(t, OutcomeUnknown, begin(a, "z"))

	for _, bad := range []string{"", "/", "dc1/", "/x"} {
		_, _, err := a.Begin(context.Background(), bad, "soap", nil)
		must.ErrorIs(t, err, ErrBadKey)
	}
}

// TestMemberNeverReturnsToAnOlderEpoch guards against a member that accepts writes of an old epoch after it has seen a
// newer one, because a caller with an outdated group called SetGroup last.
func TestMemberNeverReturnsToAnOlderEpoch(t *testing.T) {
	s := NewStore()
	group := func(epoch uint64) *laburnumv1.RecordGroup {
		return &laburnumv1.RecordGroup{DataCentre: "dc1", Epoch: epoch, Members: []string{"e1.1"}}
	}
	now := time.UnixMilli(1_800_000_000_000)
	s.SetGroup("e1.1", group(5), false)
	s.SetGroup("e1.1", group(6), false)
	s.SetGroup("e1.1", group(5), false)
	put := func(epoch uint64) bool {
		r := &laburnumv1.Record{Key: "dc1/x", Team: "soap", Owner: "o", State: started}
		return s.Put(now, &laburnumv1.PutRecordRequest{Epoch: epoch, Member: "e1.1", Record: r}).Refused
	}
	must.True(t, put(5))
	must.False(t, put(6))
	_, _, ok := s.Page(now, 6, "")
	must.True(t, ok)
}
