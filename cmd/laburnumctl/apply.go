package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"google.golang.org/protobuf/proto"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	waitInForce  = "in-force"
	pollInterval = 200 * time.Millisecond
)

type applyCommand struct {
	Sheet       string        `arg:"" type:"existingfile" help:"Sheet (CSV)."`
	Wait        string        `help:"Wait until the sheet is committed or in force in every data centre: committed or in-force." enum:"committed,in-force" default:"committed"`
	WaitTimeout time.Duration `help:"Longest wait for in-force." default:"60s"`
}

// Run applies a sheet. It is idempotent: the same sheet can be sent again, for example after a lost answer.
func (a *applyCommand) Run(cli *commandLine) error {
	cfg, err := readSheet(a.Sheet)
	if err != nil {
		return err
	}
	sized := cli.connection
	sized.requestBytes = proto.Size(cfg)
	resp, err := call(&sized, func(ctx context.Context, client operatorClient) (*laburnumv1.ApplyResponse, error) {
		return client.Apply(ctx, &laburnumv1.ApplyRequest{Configuration: cfg, By: cli.By})
	})
	if err != nil {
		return err
	}
	if resp.Conflict {
		return errConflict.New("%s", conflictText(resp))
	}
	err = cli.print(resp, func(w io.Writer) {
		fmt.Fprintf(w, "sheet %d committed at index %d by %s\n", resp.Outcome.GetNumber(), resp.Outcome.GetIndex(), resp.Outcome.GetBy())
	})
	if err != nil || a.Wait != waitInForce {
		return err
	}
	return a.awaitInForce(cli, resp.Outcome.GetIndex())
}

// conflictText returns the reason of a conflict and, if known, who applied the other sheet with the same number.
func conflictText(resp *laburnumv1.ApplyResponse) string {
	applied := resp.GetOutcome()
	if applied.GetBy() == "" {
		return resp.Reason
	}
	at := time.Unix(applied.AtUnix, 0).UTC().Format(time.RFC3339)
	return fmt.Sprintf("%s (winner: %s at %s, index %d)", resp.Reason, applied.By, at, applied.Index)
}

// awaitInForce polls until index is in force in every data centre, and prints each data centre that reaches it.
func (a *applyCommand) awaitInForce(cli *commandLine, index uint64) error {
	begin := time.Now()
	reached := make(map[string]bool)
	var missing []string
	for time.Since(begin) < a.WaitTimeout {
		resp, err := fleetSummary(&cli.connection)
		if err != nil {
			return err
		}
		missing = missing[:0]
		for _, dc := range resp.DataCentres {
			switch {
			case dc.InForceIndex < index:
				missing = append(missing, dc.DataCentre)
			case !reached[dc.DataCentre]:
				reached[dc.DataCentre] = true
				fmt.Fprintf(os.Stderr, "in force in %s after %s\n", dc.DataCentre, time.Since(begin).Round(time.Millisecond))
			}
		}
		if len(missing) == 0 && len(reached) > 0 {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errTimeout.New("committed, but after %s not in force in %v", a.WaitTimeout, missing)
}
