package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"time"

	"laburnumrouter/internal/process/server"
	"laburnumrouter/internal/request/admission"
	"laburnumrouter/internal/request/idempotency"
	"laburnumrouter/internal/request/outcome"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Retry-After values.
const (
	recordsFullRetryAfter = time.Minute
	noRecordRetryAfter    = 2 * time.Second
	inProgressRetryAfter  = time.Second
	notReceivedRetryAfter = time.Second
)

// smallBodyBytes is the size up to which a body is received before its request is queued.
const smallBodyBytes = 16 << 10

// serveKeyed runs a request under an idempotency record. The whole response is recorded before the caller gets it.
func (e *Entry) serveKeyed(ctx context.Context, w http.ResponseWriter, r *http.Request, t *admission.Ticket) {
	digest, refusal := e.bufferBody(w, r)
	if refusal != nil {
		e.refuse(w, t, refusal)
		return
	}
	verdict, record, err := e.records.Begin(ctx, t.IdempotencyKey, t.Workspace, digest)
	if err != nil {
		e.refuse(w, t, beginRefusal(err))
		return
	}
	if verdict != idempotency.Run {
		e.answerDuplicate(w, t, verdict, record)
		return
	}
	response, refusal := e.runKeyed(ctx, r, t)
	state := recordStateAfter(refusal)
	// The record must be finished even if the caller has disconnected.
	if err := e.records.Finish(context.WithoutCancel(ctx), record, state, response); err != nil {
		e.log.Error("idempotency record not finished", "team", t.Workspace, "error", err)
	}
	if refusal != nil {
		e.refuse(w, t, refusal)
		return
	}
	e.scope.Counter("answered").Inc(1)
	writeStored(w, response)
}

// beginRefusal returns the refusal for an error of Begin. While the records are unreachable, an earlier request with
// the key may have run: a repeat must not be told that it did not.
func beginRefusal(err error) *outcome.Refusal {
	switch {
	case errors.Is(err, idempotency.ErrBadKey):
		return outcome.Refuse(http.StatusBadRequest, "bad-idempotency-key", "%v", err)
	case errors.Is(err, idempotency.ErrFull):
		return outcome.Refuse(http.StatusServiceUnavailable, "records-full", "%v", err).WithRetryAfter(recordsFullRetryAfter)
	}
	if errors.Is(err, idempotency.ErrNoGroup) {
		return outcome.Refuse(http.StatusServiceUnavailable, "no-record-group", "%v", err).WithRetryAfter(noRecordRetryAfter)
	}
	return outcome.RefuseWithUnknownOutcome(http.StatusServiceUnavailable, "no-record", "the idempotency record could not be written: %v", err).WithRetryAfter(noRecordRetryAfter)
}

// recordStateAfter returns the final state of a record for a request that ended with refusal, or without one.
func recordStateAfter(refusal *outcome.Refusal) laburnumv1.RecordState {
	switch {
	case refusal == nil:
		return laburnumv1.RecordState_RECORD_STATE_COMPLETED
	case refusal.Outcome == outcome.NotRun:
		return laburnumv1.RecordState_RECORD_STATE_NOT_RUN
	}
	return laburnumv1.RecordState_RECORD_STATE_UNKNOWN
}

// runKeyed dispatches the request and reads the whole response. Once dispatched, the request continues if its caller
// disconnects.
func (e *Entry) runKeyed(ctx context.Context, r *http.Request, t *admission.Ticket) (*laburnumv1.StoredResponse, *outcome.Refusal) {
	a, refusal := e.dispatch(ctx, r, t)
	if refusal != nil {
		return nil, refusal
	}
	defer a.close()
	body, err := io.ReadAll(a.resp.Body)
	if err != nil {
		return nil, outcome.RefuseWithUnknownOutcome(http.StatusBadGateway, "cut-answer", "the instance's response ended early: %v", err)
	}
	stored := &laburnumv1.StoredResponse{Status: uint32(a.resp.StatusCode), Body: body}
	for name, values := range a.resp.Header {
		for _, v := range values {
			stored.Header = append(stored.Header, &laburnumv1.HeaderField{Name: name, Value: v})
		}
	}
	return stored, nil
}

// answerDuplicate answers a request whose idempotency key was used before.
func (e *Entry) answerDuplicate(w http.ResponseWriter, t *admission.Ticket, verdict idempotency.Verdict, record *laburnumv1.Record) {
	switch verdict {
	case idempotency.Replay:
		e.scope.Counter("replayed").Inc(1)
		writeStored(w, record.Response)
	case idempotency.ResponseNotStored:
		e.refuse(w, t, &outcome.Refusal{
			Status: http.StatusConflict, Outcome: outcome.Completed, Reason: "answer-not-kept",
			Detail: "the first request with this key completed; its answer was too large to be kept",
		})
	case idempotency.InProgress:
		e.refuse(w, t, outcome.RefuseWithUnknownOutcome(http.StatusConflict, "in-progress", "the first request with this key still runs").WithRetryAfter(inProgressRetryAfter))
	case idempotency.Conflict:
		e.refuse(w, t, outcome.Refuse(http.StatusUnprocessableEntity, "key-reused", "the key came before with other content"))
	default:
		e.refuse(w, t, outcome.RefuseWithUnknownOutcome(http.StatusConflict, "outcome-unknown", "the first request with this key may have run"))
	}
}

// bufferBody reads the body into memory and returns the digest of the request's content.
func (e *Entry) bufferBody(w http.ResponseWriter, r *http.Request) ([]byte, *outcome.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.settings.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, outcome.Refuse(http.StatusRequestEntityTooLarge, "body-too-large", "the body of a request with an Idempotency-Key may have at most %d bytes", e.settings.MaxBodyBytes)
	}
	if err != nil {
		return nil, bodyRefusal("bad-body", err)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	h := sha256.New()
	h.Write([]byte(r.Method + "\x00" + r.URL.RequestURI() + "\x00"))
	h.Write(body)
	return h.Sum(nil), nil
}

// bodyRefusal returns the refusal of a request whose body could not be read. reason is that of a fault of the caller.
func bodyRefusal(reason string, err error) *outcome.Refusal {
	if server.BodyRefused(err) {
		status := http.StatusServiceUnavailable
		if errors.Is(err, server.ErrBodySlow) {
			status = http.StatusRequestTimeout
		}
		return outcome.Refuse(status, "not-received", "%v", err).WithRetryAfter(notReceivedRetryAfter)
	}
	return outcome.Refuse(http.StatusBadRequest, reason, "the body could not be read: %v", err)
}

// receiveSmallBody reads a small body before the request waits for its turn, so that the request counts as received.
func receiveSmallBody(r *http.Request) *outcome.Refusal {
	if r.ContentLength <= 0 || r.ContentLength > smallBodyBytes {
		return nil
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return bodyRefusal("bad-body", err)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

func writeStored(w http.ResponseWriter, stored *laburnumv1.StoredResponse) {
	h := w.Header()
	for _, f := range stored.GetHeader() {
		h.Add(f.Name, f.Value)
	}
	h.Set(outcome.Header, string(outcome.Completed))
	w.WriteHeader(int(stored.GetStatus()))
	_, _ = w.Write(stored.GetBody())
}
