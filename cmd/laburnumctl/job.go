package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

type jobListCommand struct {
	Workspace string `name:"team" help:"Only jobs of this workspace."`
	Limit     uint32 `help:"Jobs to list at most, the latest first." default:"50"`
}

// Run lists jobs.
func (j *jobListCommand) Run(cli *commandLine) error {
	resp, err := call(&cli.connection, func(ctx context.Context, client operatorClient) (*laburnumv1.ListJobsResponse, error) {
		return client.ListJobs(ctx, &laburnumv1.ListJobsRequest{Team: j.Workspace, Limit: j.Limit})
	})
	if err != nil {
		return err
	}
	return cli.print(resp, func(out io.Writer) {
		fmt.Fprintln(out, "JOB\tTEAM\tPOOL\tSTATE\tWORKER\tATTEMPT\tSUBMITTED\tREASON")
		for _, job := range resp.Jobs {
			submitted := time.UnixMilli(job.SubmittedUnixMs).UTC().Format(time.RFC3339)
			fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", job.Id, job.Team, job.Pool, jobState(job),
				job.Worker, job.Attempt, submitted, job.Reason)
		}
	})
}

func jobState(job *laburnumv1.Job) string {
	return strings.ToLower(strings.TrimPrefix(job.State.String(), "JOB_STATE_"))
}

type jobCancelCommand struct {
	ID []string `arg:"" help:"Ids of jobs."`
}

// Run cancels jobs.
func (j *jobCancelCommand) Run(cli *commandLine) error {
	for _, id := range j.ID {
		resp, err := call(&cli.connection, func(ctx context.Context, client operatorClient) (*laburnumv1.CancelJobResponse, error) {
			return client.CancelJob(ctx, &laburnumv1.CancelJobRequest{Id: id, By: cli.By})
		})
		if err != nil {
			return err
		}
		err = cli.print(resp, func(out io.Writer) { fmt.Fprintf(out, "job %s: %s\n", id, jobState(resp.Job)) })
		if err != nil {
			return err
		}
	}
	return nil
}
