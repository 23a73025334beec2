package dispatch

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/journal"
	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

// randomConfig returns a configuration of about a size that can hardly be compressed.
func randomConfig(version int64, size int) *accepted.Config {
	const text = 4000
	random := rand.NewChaCha8([32]byte{1})
	config := rigConfig()
	config.Version = version
	name := make([]byte, text*3/4)
	for range size / text {
		_, _ = random.Read(name) // never fails
		config.Workspaces = append(config.Workspaces, accepted.Workspace{Name: base64.RawURLEncoding.EncodeToString(name)})
	}
	config.Raw, _ = json.Marshal(config)
	return config
}

// worstJobs are jobs that take up much in a snapshot for what they seem to be.
var worstJobs = []ledger.Submission{
	{Spec: "s", Steps: []ledger.Step{small}},
	{Spec: strings.Repeat("<", 64<<10), Steps: []ledger.Step{small}},
	{Spec: strings.Repeat("x", 4000), Steps: []ledger.Step{{Count: 1, Label: strings.Repeat("\x01", 200_000)}}},
	{Spec: strings.Repeat("x", 64<<10), Steps: []ledger.Step{small}},
}

// fill makes calls, which succeed, until one is refused for want of room.
func (r *rig) fill(call func(i int) *Call, reason error) {
	r.t.Helper()
	r.fillWith(OK, call, reason)
}

// fillWith makes calls with a given outcome until one is refused for want of room.
func (r *rig) fillWith(outcome Outcome, call func(i int) *Call, reason error) {
	r.t.Helper()
	for i := 0; ; i++ {
		must.Less(r.t, 200_000, i)
		if reply := r.do(call(i)); reply.Outcome != outcome {
			must.EqOp(r.t, reason.Error(), reply.Reason)
			must.Positive(r.t, reply.RetryAfterMS)
			return
		}
	}
}

// Guards against bounds that together exceed the disk: all that calls can create is in two snapshots, beside the log.
func TestAllBoundsTogetherFitOnDisk(t *testing.T) {
	for _, machine := range []struct{ memory, disk int }{{280, 106}, {280, 128}, {408, 192}, {64, 48}} { // MiB
		t.Run(fmt.Sprintf("%d MiB of memory, %d MiB of disk", machine.memory, machine.disk), func(t *testing.T) {
			r := newRig(t, newFakeServers())
			budget := replica.BudgetFor(int64(machine.memory)<<20, int64(machine.disk)<<20)
			r.d.limits = LimitsFor(int64(machine.memory)<<20, budget)
			r.d.endSession("the limits have changed")
			r.until(r.d.Leads)
			const storedPercent = 240 // of the bytes as sent
			config := randomConfig(2, min(int(r.d.limits.ConfigBytes)*15/16, budget.CommandBytes*100/storedPercent))
			must.EqOp(t, OK, r.do(&Call{Op: OpPutConfig, Config: config}).Outcome)
			r.fill(func(i int) *Call {
				machines := make([]string, 500)
				for k := range machines {
					machines[k] = fmt.Sprintf("machine-%06d-%06d", i, k)
				}
				if i >= 20 {
					job := worstJobs[i%len(worstJobs)]
					return &Call{Op: OpSubmit, Host: "h", Path: fmt.Sprintf("/q/%016x", i), Job: &job}
				}
				return &Call{Op: OpStartWave, Wave: &ledger.WaveOrder{Number: int64(i), Machines: machines, DurationMS: 1e9, Bound: 1}}
			}, errRecordsFull)
			snapshot, err := r.engine.Snapshot()
			must.NoError(t, err)
			const write = 4 << 20
			log := budget.KeepBytes + budget.KeepBytes*7/8 + budget.PendingBytes + write + 2*journal.DefaultSegmentBytes
			command, err := config.Pack() // one that exceeds the bounds on the log
			must.NoError(t, err)
			folder := log + base64.StdEncoding.EncodedLen(len(command)) + 2*len(snapshot)
			must.LessEq(t, machine.disk<<20, folder)
		})
	}
}

// full returns a rig that has room for nothing more, and a job that it holds.
func full(t *testing.T, limits Limits) (r *rig, held string) {
	t.Helper()
	r = newRig(t, newFakeServers())
	r.d.limits = limits
	r.d.endSession("the limits have changed")
	r.until(r.d.Leads)
	job := func(i int) *Call {
		return &Call{Op: OpSubmit, Host: "h", Path: fmt.Sprint("/q/job-", i), Job: &ledger.Submission{Spec: "s", Steps: []ledger.Step{small}}}
	}
	r.fill(job, errRecordsFull)
	return r, "/q/job-0"
}

// Guards against records that callers create without limit beside the bounded ones: cancellations of unknown jobs, and waves. What
// is known already, and what makes room, is never refused.
func TestOnlyNewRecordsAreRejectedWithoutRoom(t *testing.T) {
	r, held := full(t, Limits{RecordBytes: 20_000})
	cancel := func(i int) *Call { return &Call{Op: OpCancel, Host: "h", Path: fmt.Sprintf("/q/%064d", i)} }
	r.fillWith(NotFound, cancel, errRecordsFull)
	wave := &ledger.WaveOrder{Number: 1, Machines: []string{strings.Repeat("m", 2000)}, DurationMS: 1, Bound: 1}
	reply := r.do(&Call{Op: OpStartWave, Wave: wave})
	must.EqOp(t, Unavailable, reply.Outcome)
	must.Positive(t, reply.RetryAfterMS)
	must.EqOp(t, OK, r.do(&Call{Op: OpSubmit, Host: "h", Path: held, Job: &ledger.Submission{Spec: "s", Steps: []ledger.Step{small}}}).Outcome)
	must.EqOp(t, OK, r.do(&Call{Op: OpCancel, Host: "h", Path: held}).Outcome)
}

// Guards against callers that try again for ever what never fits, and against one small request that takes all the room.
func TestRecordThatNeverFitsIsInvalid(t *testing.T) {
	r, _ := full(t, Limits{RecordBytes: 1 << 20})
	entries := r.log.index
	reply := r.do(&Call{Op: OpSubmit, Host: "h", Path: "/q/large", Job: &ledger.Submission{Spec: "s", Steps: []ledger.Step{{Count: 20_000}}}})
	must.EqOp(t, Invalid, reply.Outcome)
	must.StrContains(t, reply.Reason, "there is room for 1048576")
	must.EqOp(t, entries, r.log.index, must.Sprint("nothing is committed"))
}

// Guards against a log that one command fills, and against a disk that refuses jobs for the number of their tasks, which their commands
// don't name.
func TestCommandThatNeverFitsIsInvalid(t *testing.T) {
	const most = 100_000
	r, _ := full(t, Limits{RecordBytes: 8 << 20})
	r.d.activeSession().limits = Limits{RecordBytes: 16 << 20, StateBytes: 32 << 20, CommandBytes: most}
	for label, outcome := range map[int]Outcome{most + 1: Invalid, most / 2: OK} {
		steps := []ledger.Step{{Count: 20_000, Label: strings.Repeat("l", label)}}
		must.EqOp(t, outcome, r.do(&Call{Op: OpSubmit, Host: "h", Path: fmt.Sprint("/q/", label), Job: &ledger.Submission{Spec: "s", Steps: steps}}).Outcome)
	}
}

// Guards against submissions that pass the bound together, as none of them is recorded yet when the others are checked.
func TestRoomIsReservedForSubmissionsUnderWay(t *testing.T) {
	r, _ := full(t, Limits{RecordBytes: 1 << 20})
	s := r.d.activeSession()
	s.limits.RecordBytes = 2 << 20
	release, refusal := s.reserve(OpSubmit, 900<<10, 0)
	must.Nil(t, refusal)
	_, refusal = s.reserve(OpSubmit, 900<<10, 0)
	must.EqOp(t, Overload, refusal.Outcome)
	release()
	release, refusal = s.reserve(OpSubmit, 900<<10, 0)
	must.Nil(t, refusal)
	release()
}

// Guards against submissions that are rejected while a configuration is on its way, and against a disk that its chunks and records fill.
func TestStagedChunksTakeNoRoomOfRecordsInMemory(t *testing.T) {
	for state, want := range map[int64]Outcome{0: OK, 8 << 20: OK, 2 << 20: Overload} {
		r := newRig(t, newFakeServers())
		r.d.limits = Limits{RecordBytes: 1 << 20, StateBytes: state, CommandBytes: state}
		r.d.endSession("the limits have changed")
		r.until(r.d.Leads)
		_, chunks := split(t, randomConfig(2, 3<<20))
		for i := range chunks {
			if r.do(&Call{Op: OpStageConfig, Chunks: chunks[i : i+1]}).Outcome != OK {
				break
			}
		}
		must.Greater(t, r.d.limits.RecordBytes*3/2, int64(r.engine.ledger.Bytes()))
		if want == OK {
			release, refusal := r.d.activeSession().reserveStaged(r.d.limits.RecordBytes)
			must.Nil(t, refusal)
			defer release()
		}
		job := &ledger.Submission{Spec: "s", Steps: []ledger.Step{small}}
		must.EqOp(t, want, r.do(&Call{Op: OpSubmit, Host: "h", Path: "/q/job", Job: job}).Outcome, must.Sprint(state))
	}
}

// Guards against a configuration that is acknowledged and then leaves no room for snapshots on any disk.
func TestConfigurationTooLargeForDiskIsRejected(t *testing.T) {
	const state = 1 << 20
	r, _ := full(t, Limits{StateBytes: state, CommandBytes: state / 4})
	entries := r.log.index
	reply := r.do(&Call{Op: OpPutConfig, Config: randomConfig(2, state/2)})
	must.EqOp(t, Invalid, reply.Outcome)
	must.StrContains(t, reply.Reason, "there is room for 262144")
	reply = r.do(&Call{Op: OpPutConfig, Config: randomConfig(2, state/8)})
	must.EqOp(t, Unavailable, reply.Outcome)
	must.Positive(t, reply.RetryAfterMS, must.Sprint("there is room once jobs have ended"))
	must.EqOp(t, entries, r.log.index, must.Sprint("nothing is committed"))
	must.EqOp(t, OK, r.do(&Call{Op: OpPutConfig, Config: randomConfig(2, state/40)}).Outcome)
}

// Guards against a disk that refuses a configuration to design for: 14,000 queues with names that differ, on the smallest machine.
func TestConfigurationToDesignForFitsOnDisk(t *testing.T) {
	r := newRig(t, newFakeServers())
	r.d.limits = LimitsFor(280<<20, replica.BudgetFor(280<<20, 106<<20))
	r.d.endSession("the limits have changed")
	r.until(r.d.Leads)
	random := rand.New(rand.NewPCG(1, 1))
	config := rigConfig()
	config.Version = 2
	for range 14_000 {
		name := fmt.Sprintf("r-%07x", random.Uint32())
		config.Queues = append(config.Queues, accepted.Queue{
			Name: name, Host: fmt.Sprintf("h%x.example", random.IntN(400)), Prefix: fmt.Sprintf("/%x/%s/", random.IntN(4000), name), Pool: "p",
			TimeoutMS: 1000 + random.Int64N(4000), ObjectiveMS: 600, MaxAttempts: 2, SlackFactor: 1.6,
		})
	}
	config.Raw, _ = json.Marshal(config)
	must.Between(t, 2<<20, len(config.Raw), 4<<20)
	must.EqOp(t, OK, r.do(&Call{Op: OpPutConfig, Config: config}).Outcome)
}
