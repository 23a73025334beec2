package product

import (
	"fmt"
	"time"

	"laburnumrouter/internal/version/machine"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/test/measure/recorder"
)

// measureLog records the processor time that the control log's state machine takes for a whole sheet, an assignment,
// a snapshot and its restoration, and the size of the snapshot.
func measureLog(r *recorder.Recorder) error {
	for _, s := range sizes {
		m := machine.New()
		begin := processorTime()
		m.Apply(1, &laburnumv1.Command{By: "measure", Kind: &laburnumv1.Command_ApplySheet{
			ApplySheet: &laburnumv1.ApplySheet{Configuration: s.configuration(1)}}})
		r.Add(recorder.Figure{Area: area, Name: "first sheet applied to the log's state, " + s.String(), Unit: "ms",
			Value: milliseconds(processorTime() - begin)})

		begin = processorTime()
		for i := range s.instances {
			m.Apply(uint64(2+i), s.assign(i))
		}
		r.Add(recorder.Figure{Area: area, Name: "assignment applied to the log's state, " + s.String(), Unit: "us",
			Value: float64((processorTime() - begin).Microseconds()) / float64(s.instances)})

		begin = processorTime()
		data, err := m.Snapshot()
		if err != nil {
			return err
		}
		spent := processorTime() - begin
		r.Add(recorder.Figure{Area: area, Name: "snapshot of the log, " + s.String(), Unit: "kB", Value: float64(len(data)) / 1000})
		r.Add(recorder.Figure{Area: area, Name: "snapshot of the log, " + s.String(), Unit: "ms", Value: milliseconds(spent)})
		begin = processorTime()
		if err := machine.New().Restore(data); err != nil {
			return err
		}
		r.Add(recorder.Figure{Area: area, Name: "snapshot restored, " + s.String(), Unit: "ms", Value: milliseconds(processorTime() - begin)})
	}
	return nil
}

// assign returns the command that assigns instance i to its pool for the first time.
func (s size) assign(i int) *laburnumv1.Command {
	step := &laburnumv1.AssignmentStep{To: s.assignment(i, 1)}
	return &laburnumv1.Command{
		AtUnixMs:  time.Now().UnixMilli(),
		By:        "measure",
		Kind:      &laburnumv1.Command_Assignments{Assignments: &laburnumv1.AssignmentPlan{Steps: []*laburnumv1.AssignmentStep{step}}},
		Decisions: []*laburnumv1.Decision{{Subject: fmt.Sprintf("instance/%d", i), Action: "assigned", Reason: "measured"}},
	}
}
