package control

import (
	"context"
	"errors"
	"sort"

	"connectrpc.com/connect"

	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/version/machine"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// maxListedJobs limits the jobs in one ListJobs response.
const maxListedJobs = 1000

// jobServer implements JobService, through which entries submit, cancel and query jobs.
type jobServer struct {
	control *Control
}

// Submit implements JobService.
func (s *jobServer) Submit(ctx context.Context, req *laburnumv1.SubmitJobRequest) (*laburnumv1.SubmitJobResponse, error) {
	result, err := s.propose(ctx, req.Job.GetTeam(), &laburnumv1.JobBatch{Submit: []*laburnumv1.Job{req.Job}})
	if err != nil {
		return nil, err
	}
	resp := &laburnumv1.SubmitJobResponse{}
	if result.Conflict {
		resp.Refused = result.Reason
	}
	if len(result.Jobs) > 0 {
		resp.Job = result.Jobs[0]
	}
	return resp, nil
}

// Cancel implements JobService.
func (s *jobServer) Cancel(ctx context.Context, req *laburnumv1.CancelTeamJobRequest) (*laburnumv1.CancelTeamJobResponse, error) {
	cancel := &laburnumv1.JobCancellation{Id: req.Id, Team: req.Team}
	result, err := s.propose(ctx, req.By, &laburnumv1.JobBatch{Cancel: []*laburnumv1.JobCancellation{cancel}})
	if err != nil {
		return nil, err
	}
	resp := &laburnumv1.CancelTeamJobResponse{}
	if len(result.Jobs) > 0 {
		resp.Job = result.Jobs[0]
	}
	return resp, nil
}

// Get implements JobService.
func (s *jobServer) Get(ctx context.Context, req *laburnumv1.GetJobRequest) (*laburnumv1.GetJobResponse, error) {
	if err := s.control.replica.ReadIndex(ctx); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	resp := &laburnumv1.GetJobResponse{}
	s.control.machine.read(func(m *machine.Machine) {
		if job := m.Jobs[req.Id]; job != nil && (req.Team == "" || job.Team == req.Team) {
			resp.Job = job
		}
	})
	return resp, nil
}

// propose commits a batch. An error with CodeUnavailable means that it was not committed, one with CodeUnknown that it
// may have been.
func (s *jobServer) propose(ctx context.Context, by string, batch *laburnumv1.JobBatch) (*laburnumv1.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	cmd := &laburnumv1.Command{By: by, Kind: &laburnumv1.Command_Jobs{Jobs: batch}}
	result, err := s.control.propose(ctx, cmd)
	if errors.Is(err, replica.ErrNotLeader) {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnknown, err)
	}
	return result, nil
}

// ListJobs implements OperatorService.
func (o *operatorServer) ListJobs(_ context.Context, req *laburnumv1.ListJobsRequest) (*laburnumv1.ListJobsResponse, error) {
	resp := &laburnumv1.ListJobsResponse{}
	o.control.machine.read(func(m *machine.Machine) {
		for _, job := range m.Jobs {
			if req.Team == "" || job.Team == req.Team {
				resp.Jobs = append(resp.Jobs, job)
			}
		}
	})
	sort.Slice(resp.Jobs, func(i, j int) bool {
		a, b := resp.Jobs[i], resp.Jobs[j]
		if a.SubmittedUnixMs != b.SubmittedUnixMs {
			return a.SubmittedUnixMs > b.SubmittedUnixMs
		}
		return a.Id < b.Id
	})
	limit := maxListedJobs
	if req.Limit > 0 {
		limit = min(limit, int(req.Limit))
	}
	resp.Jobs = resp.Jobs[:min(len(resp.Jobs), limit)]
	return resp, nil
}

// CancelJob implements OperatorService.
func (o *operatorServer) CancelJob(ctx context.Context, req *laburnumv1.CancelJobRequest) (*laburnumv1.CancelJobResponse, error) {
	server := &jobServer{control: o.control}
	resp, err := server.Cancel(ctx, &laburnumv1.CancelTeamJobRequest{Id: req.Id, By: req.By})
	if err != nil {
		return nil, err
	}
	if resp.Job == nil {
		return nil, connect.NewError(connect.CodeNotFound, Error.New("job %q does not exist", req.Id))
	}
	return &laburnumv1.CancelJobResponse{Job: resp.Job}, nil
}
