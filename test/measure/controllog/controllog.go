// Package controllog measures the control log: commits with and without group commit, restart time by length of
// the log, and the traffic and processor time of a control instance at rest and at the rate of changes to design for.
package controllog

import (
	"context"
	"fmt"
	"os"

	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/version/machine"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/test/measure/recorder"
)

const area = "control log"

// Run records the figures of the control log.
func Run(ctx context.Context, r *recorder.Recorder) error {
	dir, err := os.MkdirTemp("", "laburnum-controllog-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	for _, measure := range []func(context.Context, *recorder.Recorder, string) error{measureCommits, measureSlowDisk, measureRestarts, measureCosts} {
		if err := measure(ctx, r, dir); err != nil {
			return err
		}
	}
	return nil
}

// adapter makes the state machine of the control instances a replica.StateMachine.
type adapter struct{ machine *machine.Machine }

func newAdapter() *adapter { return &adapter{machine: machine.New()} }

// Apply implements replica.StateMachine.
func (a *adapter) Apply(index uint64, command []byte) []byte {
	cmd := &laburnumv1.Command{}
	if err := proto.Unmarshal(command, cmd); err != nil {
		return nil
	}
	result, _ := a.machine.Apply(index, cmd)
	data, err := proto.Marshal(result)
	if err != nil {
		return nil
	}
	return data
}

// Snapshot implements replica.StateMachine.
func (a *adapter) Snapshot() ([]byte, error) { return a.machine.Snapshot() }

// Restore implements replica.StateMachine.
func (a *adapter) Restore(_ uint64, data []byte) error { return a.machine.Restore(data) }

var _ replica.StateMachine = (*adapter)(nil)

// waveCount bounds the number of waves that the proposed commands create, and so the size of the state.
const waveCount = 200

// waveCommand returns a small command that updates one of waveCount waves.
func waveCommand(i int) ([]byte, error) {
	return proto.Marshal(&laburnumv1.Command{By: "measure", Kind: &laburnumv1.Command_Wave{Wave: &laburnumv1.Wave{
		Name: fmt.Sprintf("wave-%d", i%waveCount), State: laburnumv1.WaveState_WAVE_STATE_RUNNING, Done: uint32(i),
	}}})
}
