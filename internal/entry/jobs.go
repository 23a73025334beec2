package entry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/process/server"
	"laburnumrouter/internal/request/admission"
	"laburnumrouter/internal/request/outcome"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	maxJobBodyBytes    = 64 << 10
	maxJobCommandBytes = 16 << 10
	jobCallTimeout     = 4 * time.Second
	jobRetryAfter      = 2 * time.Second
	// The prefix of a job id says whether the id is derived from an idempotency key or random.
	keyedJobPrefix  = "k-"
	randomJobPrefix = "r-"
	jobIDBytes      = 16
)

// JobSubmission is the body of POST /v1/jobs.
type JobSubmission struct {
	// Pool is the pool on whose workers the job runs.
	Pool string `json:"pool"`
	// Command is passed to the platform unchanged.
	Command      string `json:"command"`
	MilliCPU     uint32 `json:"milli_cpu"`    // thousandths of a processor; default one processor
	MemoryBytes  uint64 `json:"memory_bytes"` // default 1 GiB
	Accelerators uint32 `json:"accelerators"`
	// ExpectedSeconds is the expected run time; optional.
	ExpectedSeconds uint32 `json:"seconds"`
	// Idempotent jobs are run again after a failure; others are run at most once.
	Idempotent bool `json:"idempotent"`
	// Urgent jobs are run before the others of their workspace.
	Urgent bool `json:"urgent"`
}

// JobStatus is the response body of requests about a job.
type JobStatus struct {
	ID            string   `json:"id"`
	Pool          string   `json:"pool"`
	State         string   `json:"state"`
	Reason        string   `json:"reason"`
	Worker        string   `json:"worker,omitempty"`
	Attempt       uint32   `json:"attempt"`
	FailedWorkers []string `json:"failed_workers,omitempty"`
	SubmittedMS   int64    `json:"submitted_unix_ms"`
	StartedMS     int64    `json:"started_unix_ms,omitempty"`
	EndedMS       int64    `json:"ended_unix_ms,omitempty"`
}

func (e *Entry) handleJobs(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/jobs", e.serveSubmitJob)
	mux.HandleFunc("GET /v1/jobs/{id}", e.serveGetJob)
	mux.HandleFunc("DELETE /v1/jobs/{id}", e.serveCancelJob)
}

func (e *Entry) serveSubmitJob(w http.ResponseWriter, r *http.Request) {
	workspace, key, refusal := admission.AdmitJob(e.store.View(), r)
	if refusal != nil {
		e.refuse(w, nil, refusal)
		return
	}
	job, refusal := e.readJob(w, r, workspace, key)
	if refusal != nil {
		e.refuse(w, nil, refusal)
		return
	}
	var resp *laburnumv1.SubmitJobResponse
	err := e.callControl(r.Context(), func(ctx context.Context, p *peer.Peer) (err error) {
		resp, err = p.Jobs.Submit(ctx, &laburnumv1.SubmitJobRequest{Job: job})
		return err
	})
	switch {
	case err != nil:
		e.refuse(w, nil, controlRefusal(err, job.Id))
	case resp.Refused != "" && resp.Job != nil:
		e.refuse(w, nil, outcome.Refuse(http.StatusUnprocessableEntity, "key-reused", "%s", resp.Refused))
	case resp.Refused != "":
		e.refuse(w, nil, outcome.Refuse(http.StatusConflict, "job-refused", "%s", resp.Refused))
	default:
		e.log.Info("job accepted", "job", job.Id, "team", workspace, "pool", job.Pool, "urgent", job.Urgent)
		w.Header().Set("Location", "/v1/jobs/"+job.Id)
		writeJob(w, http.StatusAccepted, resp.Job)
	}
}

// readJob decodes and checks a submission. The id of a job with an idempotency key is derived from workspace and key, so that
// a repeated submission finds the first one.
func (e *Entry) readJob(w http.ResponseWriter, r *http.Request, workspace, key string) (*laburnumv1.Job, *outcome.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxJobBodyBytes))
	if server.BodyRefused(err) {
		return nil, bodyRefusal("bad-job", err)
	}
	if err != nil {
		return nil, outcome.Refuse(http.StatusRequestEntityTooLarge, "body-too-large", "the body of a job submission may have at most %d bytes", maxJobBodyBytes)
	}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	var s JobSubmission
	if err := decoder.Decode(&s); err != nil {
		return nil, outcome.Refuse(http.StatusBadRequest, "bad-job", "%v", err)
	}
	switch {
	case e.store.View().Pool(s.Pool) == nil:
		return nil, outcome.Refuse(http.StatusNotFound, "unknown-pool", "there is no pool %q", s.Pool)
	case s.Command == "" || len(s.Command) > maxJobCommandBytes:
		return nil, outcome.Refuse(http.StatusBadRequest, "bad-job", "command needs 1 to %d bytes", maxJobCommandBytes)
	}
	digest := sha256.Sum256(body)
	return &laburnumv1.Job{
		Id:              jobID(workspace, key),
		Team:            workspace,
		Pool:            s.Pool,
		Command:         s.Command,
		Declared:        &laburnumv1.Resources{MilliCpu: s.MilliCPU, MemoryBytes: s.MemoryBytes, Accelerators: s.Accelerators},
		DeclaredSeconds: s.ExpectedSeconds,
		Idempotent:      s.Idempotent,
		Urgent:          s.Urgent,
		IdempotencyKey:  key,
		Digest:          digest[:],
	}, nil
}

func jobID(workspace, key string) string {
	if key == "" {
		return randomJobPrefix + strings.ToLower(rand.Text())
	}
	sum := sha256.Sum256([]byte(workspace + "\x00" + key))
	return keyedJobPrefix + hex.EncodeToString(sum[:jobIDBytes])
}

func (e *Entry) serveGetJob(w http.ResponseWriter, r *http.Request) {
	workspace, _, refusal := admission.AdmitJob(e.store.View(), r)
	if refusal != nil {
		e.refuse(w, nil, refusal)
		return
	}
	var resp *laburnumv1.GetJobResponse
	err := e.callControl(r.Context(), func(ctx context.Context, p *peer.Peer) (err error) {
		resp, err = p.Jobs.Get(ctx, &laburnumv1.GetJobRequest{Id: r.PathValue("id"), Team: workspace})
		return err
	})
	e.answerJob(w, r, http.StatusOK, resp.GetJob(), err)
}

func (e *Entry) serveCancelJob(w http.ResponseWriter, r *http.Request) {
	workspace, _, refusal := admission.AdmitJob(e.store.View(), r)
	if refusal != nil {
		e.refuse(w, nil, refusal)
		return
	}
	var resp *laburnumv1.CancelTeamJobResponse
	err := e.callControl(r.Context(), func(ctx context.Context, p *peer.Peer) (err error) {
		resp, err = p.Jobs.Cancel(ctx, &laburnumv1.CancelTeamJobRequest{Id: r.PathValue("id"), Team: workspace, By: workspace})
		return err
	})
	e.answerJob(w, r, http.StatusAccepted, resp.GetJob(), err)
}

func (e *Entry) answerJob(w http.ResponseWriter, r *http.Request, status int, job *laburnumv1.Job, err error) {
	id := r.PathValue("id")
	switch {
	case err != nil:
		e.refuse(w, nil, controlRefusal(err, id))
	case job == nil:
		e.refuse(w, nil, outcome.Refuse(http.StatusNotFound, "unknown-job", "the workspace has no job %q", id))
	default:
		writeJob(w, status, job)
	}
}

// callControl calls the control instances one after the other, the leader first, until one answers. f must be
// idempotent.
func (e *Entry) callControl(ctx context.Context, f func(context.Context, *peer.Peer) error) error {
	var last error
	uncertain := false
	for _, p := range e.controlsLeaderFirst() {
		callCtx, cancel := context.WithTimeout(ctx, jobCallTimeout)
		last = f(callCtx, p)
		cancel()
		if last == nil {
			return nil
		}
		e.log.Debug("control instance did not answer", "peer", p.Name, "error", last)
		uncertain = uncertain || connect.CodeOf(last) != connect.CodeUnavailable
	}
	if uncertain {
		return errUncertain.Wrap(last)
	}
	return Error.Wrap(last)
}

func (e *Entry) controlsLeaderFirst() []*peer.Peer {
	leader := e.reporter.currentLeader()
	var list []*peer.Peer
	for _, p := range e.controls {
		if p.Name == leader {
			list = append([]*peer.Peer{p}, list...)
			continue
		}
		list = append(list, p)
	}
	return list
}

// controlRefusal returns the refusal for a call that no control instance answered.
func controlRefusal(err error, id string) *outcome.Refusal {
	if errors.Is(err, context.Canceled) || errUncertain.Has(err) {
		return outcome.RefuseWithUnknownOutcome(http.StatusGatewayTimeout, "outcome-unknown", "query job %s; a request with an Idempotency-Key may also be repeated", id).WithRetryAfter(jobRetryAfter)
	}
	return outcome.Refuse(http.StatusServiceUnavailable, "no-quorum", "the control log takes no jobs now").WithRetryAfter(jobRetryAfter)
}

func writeJob(w http.ResponseWriter, status int, job *laburnumv1.Job) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(&JobStatus{
		ID:            job.Id,
		Pool:          job.Pool,
		State:         strings.ToLower(strings.TrimPrefix(job.State.String(), "JOB_STATE_")),
		Reason:        job.Reason,
		Worker:        job.Worker,
		Attempt:       job.Attempt,
		FailedWorkers: job.FailedWorkers,
		SubmittedMS:   job.SubmittedUnixMs,
		StartedMS:     job.StartedUnixMs,
		EndedMS:       job.EndedUnixMs,
	})
}
