package dispatch

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/schedule"
)

// malformedCommands are log entries with step and index numbers out of range, negative and huge numbers, and parts of the wrong
// type.
var malformedCommands = []string{
	``, `{`, `null`, `[]`, `{"Starts":{}}`,
	`{"Starts":[{"Task":"j.0.0.9","Run":1,"Worker":"a"}]}`,
	`{"Starts":[{"Task":"j.0.9.0","Run":1,"Worker":"a"}]}`,
	`{"Starts":[{"Task":"j.9.0.0","Run":1,"Worker":"a"}]}`,
	`{"Starts":[{"Task":"j.0.0.-1","Run":1,"Worker":"a"}]}`,
	`{"Starts":[{"Task":"j.0.0.0","Run":-9223372036854775808,"Worker":"a"}]}`,
	`{"Ends":[{"Task":"j.0.0.99999999999","Run":1,"Worker":"a","How":"done"}]}`,
	`{"Ends":[{"Task":"j.0.0.0","Run":1,"Worker":"a","How":"unheard of"}]}`,
	`{"Begun":["","none"],"Cancel":"none"}`,
	`{"Submit":{"ID":"k","Queue":"q","Steps":[{"Count":4611686018427387904},{"Count":4611686018427387904}]},"Starts":[{"Task":"k.0.0.0","Run":1,"Worker":"a"}]}`,
	`{"Submit":{"ID":"l","Queue":"q","Steps":[{"Count":1,"After":[7]}]},"Starts":[{"Task":"l.0.0.0","Run":1,"Worker":"a"}]}`,
	`{"Submit":{"ID":"m","Queue":"q","Steps":[{"Count":-1}]},"Starts":[{"Task":"m.0.0.0","Run":1,"Worker":"a"}]}`,
	`{"Config":{}}`, `{"Wave":{"Number":-1}}`, `{"Upkeep":[{"Wave":77,"Machine":"m","Phase":-5}]}`, `{"Sizes":{"p":-1}}`,
	`{"Gone":[{}],"Left":[{"ID":"a","Born":9223372036854775807}]}`, `{"NowMS":9223372036854775807}`,
}

// engineWithJob returns an engine whose ledger has a configuration, a server and the job j with one task.
func engineWithJob(t testing.TB) *Engine {
	t.Helper()
	e := NewEngine(hclog.NewNullLogger())
	for n, c := range []*ledger.Command{
		{NowMS: 1, Config: rigConfig()},
		{NowMS: 2, Submit: &ledger.Submission{ID: "j", Queue: "q", Steps: []ledger.Step{small}}, Servers: []ledger.Server{{ID: "a", Pool: "p", Born: 1}}},
	} {
		data, err := json.Marshal(c)
		must.NoError(t, err)
		e.Apply(uint64(n+1), data)
	}
	return e
}

// FuzzApply guards against a log entry that brings down every replica, again after each restart, and against replicas that
// differ after such an entry: one that applied it, and one that restored a snapshot of the state after it.
func FuzzApply(f *testing.F) {
	for _, c := range malformedCommands {
		f.Add([]byte(c))
	}
	next, err := json.Marshal(&ledger.Command{NowMS: 3, Starts: []ledger.Start{{Task: ledger.TaskID{Job: "j"}, Run: 1, Worker: "a", Born: 1}}})
	must.NoError(f, err)
	f.Fuzz(func(t *testing.T, data []byte) {
		first, second, restored := engineWithJob(t), engineWithJob(t), NewEngine(hclog.NewNullLogger())
		first.Apply(3, data)
		second.Apply(3, data)
		state, err := first.Snapshot()
		must.NoError(t, err)
		must.NoError(t, restored.Restore(3, state))
		result := first.Apply(4, next)
		must.Eq(t, string(result), string(second.Apply(4, next)))
		must.Eq(t, string(result), string(restored.Apply(4, next)))
		one, err := first.Snapshot()
		must.NoError(t, err)
		for _, e := range []*Engine{second, restored} {
			other, err := e.Snapshot()
			must.NoError(t, err)
			must.EqOp(t, string(one), string(other))
		}
	})
}

// Guards against an entry that stops every replica, again after each restart: a panic skips the rest of the entry in the same
// way on each, and a replica that restores a snapshot afterwards has the same state. A panic of the session's part concerns no
// other replica and doesn't change the result. The lock is free afterwards.
func TestPanicWhileApplyingSkipsRestOfEntry(t *testing.T) {
	faulty := func() *Engine {
		e := engineWithJob(t)
		e.ledger.Jobs["j"].Occurrences[0] = &ledger.Occurrence{} // lacks the records that a start relies on
		return e
	}
	first, second, restored := faulty(), faulty(), NewEngine(hclog.NewNullLogger())
	first.setAfterApply(func(*ledger.Command, *ledger.Result) { panic("fault of the session") })
	entry := []byte(`{"NowMS":5,"Begun":["j"],"Starts":[{"Task":"j.0.0.0","Run":1,"Worker":"a"}],"Gone":[{"ID":"a","Born":1}]}`)
	must.SliceEmpty(t, first.Apply(3, entry))
	must.SliceEmpty(t, second.Apply(3, entry))
	state, err := first.Snapshot()
	must.NoError(t, err)
	must.NoError(t, restored.Restore(3, state))
	next := []byte(`{"NowMS":6,"Cancel":"j"}`)
	for _, e := range []*Engine{second, restored} {
		e.setAfterApply(func(*ledger.Command, *ledger.Result) {}) // results are encoded for a session only
	}
	for _, e := range []*Engine{first, second, restored} {
		must.EqOp(t, `{"Cancel":"taken"}`, string(e.Apply(4, next)))
		must.True(t, e.mu.TryLock())
		e.mu.Unlock()
	}
	one, err := first.Snapshot()
	must.NoError(t, err)
	for _, e := range []*Engine{second, restored} {
		other, err := e.Snapshot()
		must.NoError(t, err)
		must.EqOp(t, string(one), string(other))
	}
}

// Guards against a process that hangs or exits because of a call of another process without the part that its operation needs.
func TestCallWithoutPartsIsRejected(t *testing.T) {
	r := newRig(t, newFakeServers("a"))
	for _, op := range []Op{OpSubmit, OpState, OpCancel, OpPending, OpPutConfig, OpAnnounce, OpLeave, OpStartWave, OpWaveState, "", "unknown"} {
		reply := r.do(&Call{Op: op})
		must.NotEq(t, OK, reply.Outcome, must.Sprint(op))
	}
	must.EqOp(t, OK, r.do(&Call{Op: OpStatus}).Outcome)
}

// malformedReports are reports of a server with task numbers out of range, negative and huge numbers, and unknown words.
func malformedReports() []*HoldReport {
	odd := []ledger.TaskID{
		{Job: "j", Index: 9}, {Job: "j", Step: 9}, {Job: "j", Occurrence: 9}, {Job: "none"}, {}, {Job: "j", Index: -1}, {Job: "j", Step: -1},
		{Job: "j", Occurrence: -1}, {Job: "j", Index: 1 << 62},
	}
	huge := &HoldReport{Born: 1, ClockMS: 1}
	for n := range 5000 {
		huge.Running = append(huge.Running, RunningTask{Task: ledger.TaskID{Job: fmt.Sprint("x", n)}, Run: 1})
	}
	list := []*HoldReport{huge, {}, {Born: -1, ClockMS: -1 << 63}, {Born: 1, ClockMS: 1<<63 - 1}}
	for _, id := range odd {
		list = append(list, &HoldReport{
			Born: 1, ClockMS: 1, Running: []RunningTask{{Task: id, Run: -1, Percent: -1 << 63, Figure: 1<<63 - 1}, {Task: id, Run: 1, Percent: 1 << 62}},
			Finished: []FinishedTask{{Number: 1<<63 - 1, Task: id, Run: 1, How: "unheard of"}, {Number: -1, Task: id, Run: -1}},
		})
	}
	return list
}

// Guards against a malformed report of one server that ends the process, blocks it, or makes it send thousands of orders. Other
// servers are still used.
func TestMalformedReportAffectsNothingElse(t *testing.T) {
	f := newFakeServers("a", "b")
	r := newRig(t, f)
	r.submit("j", small)
	r.until(func() bool { return f.totalRuns() == 1 })
	s := r.d.session.Load()
	before := s.strayStops.Load()
	for _, report := range malformedReports() {
		h := &holdLoop{session: s, serverID: "b", born: 1}
		h.processReport(holdCall{}, report, boottime.Now(), boottime.Now())
		must.LessEq(t, maxStraysPerReport, s.strayStops.Load()-before)
		before = s.strayStops.Load()
	}
	f.mu.Lock()
	f.servers["b"].refuses = true
	f.mu.Unlock()
	r.submit("k", small)
	r.until(func() bool { return len(f.runs("a")) > 0 })
}

// Guards against a panic in a goroutine of the session that ends the process: the loop goes on.
func TestPanicInSessionLoopIsContained(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r := newRig(t, newFakeServers("a"))
		s := r.d.session.Load()
		var rounds atomic.Int64
		s.spawnLoop("test", func() {
			if rounds.Add(1) < 3 {
				panic("fault")
			}
		})
		s.spawn(func() { panic("fault") })
		time.Sleep(3 * loopRestartDelay)
		must.EqOp(t, 3, rounds.Load())
		r.submit("j", small)
		r.until(func() bool { return r.servers.totalRuns() == 1 })
	})
}

// FuzzCall guards against a call of another process that ends this one or leaves a lock held.
func FuzzCall(f *testing.F) {
	for _, s := range []string{
		`{}`, `{"Op":"announce"}`, `{"Op":"announce","Server":{}}`, `{"Op":"announce","Server":{"ID":"x","Born":-1,"Seq":-1,"ClockMS":-9223372036854775808}}`,
		`{"Op":"leave"}`, `{"Op":"leave","Server":{"ID":"none"}}`, `{"Op":"put-config"}`, `{"Op":"put-config","Config":{}}`, `{"Op":"start-wave"}`,
		`{"Op":"start-wave","Wave":{"Number":-1,"Bound":9223372036854775807,"Machines":[""],"DurationMS":-9223372036854775808}}`, `{"Op":"wave-state"}`,
		`{"Op":"submit","Host":"h","Path":"/q/x","Job":{}}`, `{"Op":"submit","Host":"h","Path":"/q/x","Job":{"Steps":[{"Count":1,"Spread":-1,"MayMiss":-1,"EstimateMS":-9223372036854775808}]}}`,
		`{"Op":"submit","Host":"h","Path":"/q/y","Job":{"Steps":[{"Count":4611686018427387904},{"Count":4611686018427387904}]}}`,
		`{"Op":"submit","Host":"h","Path":"/q/z","Job":{"Steps":[{"Count":2,"Gang":true}],"Times":100000,"EveryMS":9223372036854775807,"FirstMS":-9223372036854775808}}`,
		`{"Op":"explain"}`, `{"Op":"explain","Path":"x"}`, `{"Op":"cancel","Host":"h","Path":"/q/"}`, `{"Op":"state"}`, `{"Op":"pending"}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var c Call
		if json.Unmarshal(data, &c) != nil {
			return
		}
		r := newRig(t, newFakeServers("a"))
		_, _ = r.d.Do(t.Context(), &c)
		s := r.d.session.Load()
		s.engine.mu.Lock()
		_ = schedule.Plan(s.planInputLocked()) // the planner's own goroutine would contain a panic
		s.engine.mu.Unlock()
		must.EqOp(t, OK, r.do(&Call{Op: OpStatus}).Outcome)
	})
}
