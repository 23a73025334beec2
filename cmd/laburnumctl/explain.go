package main

import (
	"context"
	"fmt"
	"io"
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

type explainCommand struct {
	Subject string `arg:"" help:"Subject, as kind/name: instance, team, pool, wave, job, sheet, key, voter."`
}

// Run prints the decisions about a subject, oldest first.
func (e *explainCommand) Run(cli *commandLine) error {
	resp, err := call(&cli.connection, func(ctx context.Context, client operatorClient) (*laburnumv1.ExplainResponse, error) {
		return client.Explain(ctx, &laburnumv1.ExplainRequest{Subject: e.Subject})
	})
	if err != nil {
		return err
	}
	return cli.print(resp, func(w io.Writer) {
		if len(resp.Decisions) == 0 {
			fmt.Fprintf(w, "no decision about %s is in the record\n", e.Subject)
			return
		}
		fmt.Fprintln(w, "TIME\tINDEX\tSHEET\tACTION\tREASON\tBY")
		for _, d := range resp.Decisions {
			at := time.UnixMilli(d.AtUnixMs).UTC().Format(time.RFC3339)
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\n", at, d.Index, d.SheetNumber, d.Action, d.Reason, d.By)
		}
	})
}
