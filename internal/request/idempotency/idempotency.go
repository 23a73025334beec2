// Package idempotency records each request that carries an idempotency key, so that it runs at most once.
//
// The record of a key "<data centre>/<id>" is written to every member and learner of that data centre's record group
// before the request is dispatched. The record of a key without a data centre is committed to the control log. Keys
// are scoped by workspace.
package idempotency

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Error is the class of all errors of this package. A request whose Begin failed was not dispatched.
var Error = errs.Class("idempotency")

var (
	// ErrBadKey is returned for a key that is neither an id without slash nor <data centre>/<id>.
	ErrBadKey = Error.New("a key is an id without slash, or <data centre>/<id>")
	// ErrFull is returned when no further record can be stored until old ones expire.
	ErrFull = Error.New("no room for a further record")
	// ErrNoGroup is returned when the key's data centre has no record group.
	ErrNoGroup = Error.New("the data centre of the key has no record group")
	// ErrUnreachable is returned when the record could not be written to every member and learner of the group.
	ErrUnreachable = Error.New("the record could not be written to every member and learner of its group")
)

// Retention is how long a record is kept after it was first written.
const Retention = time.Hour

// Verdict says what to do with a keyed request.
type Verdict int

const (
	// Run means that the record was written and the request may be dispatched.
	Run Verdict = iota
	// Replay means that the work completed and that its answer is stored in the record.
	Replay
	// ResponseNotStored means that the work completed but that its answer was too large to be stored.
	ResponseNotStored
	// InProgress means that the first request with the key is still running.
	InProgress
	// Conflict means that the key was used before by a request with different content.
	Conflict
	// OutcomeUnknown means that it is unknown whether the work ran.
	OutcomeUnknown
)

// Recorder writes and looks up idempotency records.
type Recorder interface {
	// Begin writes a record before dispatch. With Run it returns the caller's own record, which the caller must end
	// with Finish; with Replay it returns the record that holds the answer. After an error the request must not be
	// dispatched.
	Begin(ctx context.Context, key, workspace string, digest []byte) (Verdict, *laburnumv1.Record, error)
	// Finish records the outcome of a request for which Begin returned Run. With a nil response no answer is stored.
	// After an error, repeats may be told that the outcome is unknown.
	Finish(ctx context.Context, own *laburnumv1.Record, state laburnumv1.RecordState, response *laburnumv1.StoredResponse) error
}

// KeyRouter routes each key to the recorder that holds its record. It implements Recorder.
type KeyRouter struct {
	DataCentres Recorder // for keys that name a data centre
	ControlLog  Recorder // for keys that do not
}

// recorderFor returns the recorder for a key, or ErrBadKey if the key is malformed.
func (k *KeyRouter) recorderFor(key string) (Recorder, error) {
	dataCentre, id, named := strings.Cut(key, "/")
	switch {
	case named && (dataCentre == "" || id == ""), key == "":
		return nil, ErrBadKey
	case named:
		return k.DataCentres, nil
	}
	return k.ControlLog, nil
}

// Begin implements Recorder.
func (k *KeyRouter) Begin(ctx context.Context, key, workspace string, digest []byte) (Verdict, *laburnumv1.Record, error) {
	recorder, err := k.recorderFor(key)
	if err != nil {
		return OutcomeUnknown, nil, err
	}
	return recorder.Begin(ctx, key, workspace, digest)
}

// Finish implements Recorder.
func (k *KeyRouter) Finish(ctx context.Context, own *laburnumv1.Record, state laburnumv1.RecordState, response *laburnumv1.StoredResponse) error {
	recorder, err := k.recorderFor(own.GetKey())
	if err != nil {
		return err
	}
	return recorder.Finish(ctx, own, state, response)
}

// classifyRepeat returns the verdict on a repeat of a recorded request. InProgress only means that the record is
// still open: the caller must check whether the record's owner is still running.
func classifyRepeat(r *laburnumv1.Record, digest []byte) Verdict {
	switch {
	case !bytes.Equal(r.Digest, digest):
		return Conflict
	case r.State == laburnumv1.RecordState_RECORD_STATE_COMPLETED && r.Response != nil:
		return Replay
	case r.State == laburnumv1.RecordState_RECORD_STATE_COMPLETED:
		return ResponseNotStored
	case r.State == laburnumv1.RecordState_RECORD_STATE_STARTED:
		return InProgress
	}
	return OutcomeUnknown
}

// mayHaveLostRecord reports whether the key may have had a record that was lost or has expired. The records are
// complete only since completeSince. For a UUIDv7, which carries its creation time, it returns true if the id may be
// older than completeSince or older than Retention. For any other id, or one from the future, it returns true during
// the first Retention after completeSince.
func mayHaveLostRecord(key string, completeSince, now time.Time) bool {
	at, known := uuidV7Time(key)
	if !known || at.After(now.Add(MaxClockSkew)) {
		return now.Before(completeSince.Add(Retention))
	}
	return at.Before(completeSince) || at.Before(now.Add(MaxClockSkew-Retention))
}

// uuidV7Time returns the creation time in the id of a key, if the id is a UUIDv7.
func uuidV7Time(key string) (time.Time, bool) {
	const version = 7
	_, id, named := strings.Cut(key, "/")
	if !named {
		id = key
	}
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != version {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// TooOld reports whether the record of a key may have expired already, judged by the creation time in its id.
// It returns false for an id without a creation time.
func TooOld(key string, now time.Time) bool { return mayHaveLostRecord(key, time.Time{}, now) }
