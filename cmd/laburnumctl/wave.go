package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

type waveStatusCommand struct{}

// Run prints the state and progress of all waves.
func (w *waveStatusCommand) Run(cli *commandLine) error {
	resp, err := call(&cli.connection, func(ctx context.Context, client operatorClient) (*laburnumv1.StatusResponse, error) {
		return client.Status(ctx, &laburnumv1.StatusRequest{})
	})
	if err != nil {
		return err
	}
	return cli.print(resp, func(out io.Writer) {
		fmt.Fprintln(out, "WAVE\tSTATE\tDONE\tTOTAL\tBY OPERATOR\tREASON\tOVERDUE")
		for _, wave := range resp.Waves {
			state := strings.ToLower(strings.TrimPrefix(wave.State.String(), "WAVE_STATE_"))
			fmt.Fprintf(out, "%s\t%s\t%d\t%d\t%t\t%s\t%s\n", wave.Name, state, wave.Done, wave.Total,
				wave.ByOperator, wave.Reason, strings.Join(wave.Overdue, " "))
		}
	})
}

type wavePauseCommand struct {
	Name string `arg:"" help:"Name of the maintenance plan."`
}

// Run pauses a wave until an operator resumes it.
func (w *wavePauseCommand) Run(cli *commandLine) error { return setWavePaused(cli, w.Name, true) }

type waveResumeCommand struct {
	Name string `arg:"" help:"Name of the maintenance plan."`
}

// Run resumes a wave.
func (w *waveResumeCommand) Run(cli *commandLine) error { return setWavePaused(cli, w.Name, false) }

// setWavePaused pauses or resumes a wave.
func setWavePaused(cli *commandLine, name string, pause bool) error {
	resp, err := call(&cli.connection, func(ctx context.Context, client operatorClient) (*laburnumv1.SetWaveResponse, error) {
		return client.SetWave(ctx, &laburnumv1.SetWaveRequest{Name: name, Pause: pause, By: cli.By})
	})
	if err != nil {
		return err
	}
	return cli.print(resp, func(out io.Writer) {
		fmt.Fprintf(out, "wave %s: %s\n", resp.Wave.Name, resp.Wave.Reason)
	})
}
