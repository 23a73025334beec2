// Package machine is the deterministic state machine that the control log drives.
//
// Planners make their plans from a state that may be out of date. Apply therefore verifies each command against the
// state at its position in the log, so that no plan can break an invariant. Apply reads no clock and does no I/O.
package machine

import (
	"fmt"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/version/roster"
	"laburnumrouter/internal/version/state"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Error is the class of all errors of this package.
var Error = errs.Class("machine")

// maxKeptDecisions limits the decisions that are stored for the explain command.
const maxKeptDecisions = 20_000

// Machine holds the state that results from the commands of the control log.
type Machine struct {
	State *state.State
	// Roster indexes the assignments of State.
	Roster    *roster.Roster
	Decisions []*laburnumv1.Decision
	Jobs      map[string]*laburnumv1.Job
	Records   map[string]*laburnumv1.GlobalRecord // by workspace and key

	// OnJobChange, if set, is called for each change of a job. old is nil for a new job; job is nil for a deleted one.
	OnJobChange func(old, job *laburnumv1.Job)

	sheets       *sheetOutcomes
	recordCounts map[string]int // number of Records, by workspace
	answerBytes  int            // total size of the answers in Records
	counts       *jobCounts
}

// New returns an empty machine.
func New() *Machine {
	return &Machine{
		State:   state.New(),
		Roster:  roster.New(),
		Jobs:    make(map[string]*laburnumv1.Job),
		Records: make(map[string]*laburnumv1.GlobalRecord),

		sheets:       newSheetOutcomes(nil),
		recordCounts: make(map[string]int),
		counts:       newJobCounts(),
	}
}

// Apply applies the command at index and returns its result and the changes to send to the entry instances.
func (m *Machine) Apply(index uint64, cmd *laburnumv1.Command) (*laburnumv1.CommandResult, []*laburnumv1.Change) {
	applier := &commandApplier{Machine: m, index: index, cmd: cmd, result: &laburnumv1.CommandResult{Index: index}}
	switch kind := cmd.Kind.(type) {
	case *laburnumv1.Command_ApplySheet:
		applier.applySheet(kind.ApplySheet)
	case *laburnumv1.Command_WithdrawKey:
		applier.withdrawKey(kind.WithdrawKey)
	case *laburnumv1.Command_Assignments:
		applier.applyAssignmentPlan(kind.Assignments)
	case *laburnumv1.Command_Slices:
		applier.setSlices(kind.Slices)
	case *laburnumv1.Command_RecordGroup:
		applier.setRecordGroup(kind.RecordGroup)
	case *laburnumv1.Command_Wave:
		applier.setWave(kind.Wave)
	case *laburnumv1.Command_Jobs:
		applier.setJobs(kind.Jobs)
	case *laburnumv1.Command_Records:
		applier.putRecords(kind.Records)
	case nil:
		// The command only adds to the decisions.
	default:
		applier.refuse("command of an unknown kind")
	}
	for _, d := range cmd.Decisions {
		applier.recordDecision(d.Subject, d.Action, d.Reason)
	}
	m.State.Index = index
	return applier.result, applier.changes
}

// commandApplier applies one command and collects its result and changes.
type commandApplier struct {
	*Machine
	index   uint64
	cmd     *laburnumv1.Command
	result  *laburnumv1.CommandResult
	changes []*laburnumv1.Change
}

// refuse marks the command as conflicting and sets the reason of its result.
func (s *commandApplier) refuse(format string, args ...any) {
	s.result.Conflict = true
	s.result.Reason = fmt.Sprintf(format, args...)
}

// applyChange applies c to the state and adds it to the changes for the entry instances.
func (s *commandApplier) applyChange(c *laburnumv1.Change) {
	c.Index = s.index
	if err := s.State.ApplyChange(c); err != nil {
		s.refuse("%v", err)
		return
	}
	s.changes = append(s.changes, c)
}

// recordDecision appends a decision. Beyond maxKeptDecisions the oldest tenth is dropped.
func (s *commandApplier) recordDecision(subject, action, reason string) {
	s.Machine.Decisions = append(s.Machine.Decisions, &laburnumv1.Decision{
		Index:       s.index,
		AtUnixMs:    s.cmd.AtUnixMs,
		Subject:     subject,
		Action:      action,
		Reason:      reason,
		SheetNumber: s.State.SheetNumber,
		By:          s.cmd.By,
	})
	if len(s.Machine.Decisions) > maxKeptDecisions {
		s.Machine.Decisions = append([]*laburnumv1.Decision(nil), s.Machine.Decisions[maxKeptDecisions/10:]...)
	}
}

// Snapshot encodes the whole machine.
func (m *Machine) Snapshot() ([]byte, error) {
	snap := &laburnumv1.ControlSnapshot{Accepted: m.State.Snapshot(), Decisions: m.Decisions}
	snap.Sheets = m.sheets.list()
	for _, j := range m.Jobs {
		snap.Jobs = append(snap.Jobs, j)
	}
	for _, r := range m.Records {
		snap.Records = append(snap.Records, r)
	}
	data, err := proto.Marshal(snap)
	return data, Error.Wrap(err)
}

// Restore replaces the contents of the machine with those of an encoded snapshot. OnJobChange is kept.
func (m *Machine) Restore(data []byte) error {
	snap := &laburnumv1.ControlSnapshot{}
	if err := proto.Unmarshal(data, snap); err != nil {
		return Error.Wrap(err)
	}
	restored := New()
	if err := restored.State.Restore(snap.Accepted); err != nil {
		return Error.Wrap(err)
	}
	restored.rebuildRoster()
	restored.sheets = newSheetOutcomes(snap.Sheets)
	for _, j := range snap.Jobs {
		restored.Jobs[j.Id] = j
		restored.counts.add(j, 1)
	}
	for _, r := range snap.Records {
		restored.Records[recordID(r)] = r
		restored.recordCounts[r.Team]++
		restored.answerBytes += proto.Size(r.Response)
	}
	restored.Decisions = snap.Decisions
	restored.OnJobChange = m.OnJobChange
	*m = *restored
	return nil
}

// DecisionsAt returns the decisions made at index if no decision was made at a later index, else none.
func (m *Machine) DecisionsAt(index uint64) []*laburnumv1.Decision {
	first := len(m.Decisions)
	for first > 0 && m.Decisions[first-1].Index == index {
		first--
	}
	return m.Decisions[first:]
}
