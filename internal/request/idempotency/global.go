package idempotency

import (
	"context"

	"google.golang.org/protobuf/proto"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// maxLoggedResponseBytes is the size of the largest answer that is stored in the control log.
const maxLoggedResponseBytes = 16 << 10

// Log commits idempotency records to the control log.
type Log interface {
	// Commit returns what the log holds for the record's key after the record was applied.
	Commit(ctx context.Context, r *laburnumv1.GlobalRecord) (*laburnumv1.GlobalRecord, error)
}

// LogRecorder commits the records of keys without a data centre to the control log. It implements Recorder.
type LogRecorder struct {
	Log     Log
	Network Network
	Owners  *Owners
	// MayHaveExpired reports whether a record of the key may have existed and expired.
	MayHaveExpired func(key string) bool
}

// Begin implements Recorder.
func (k *LogRecorder) Begin(ctx context.Context, key, workspace string, digest []byte) (Verdict, *laburnumv1.Record, error) {
	if k.MayHaveExpired(key) {
		return OutcomeUnknown, nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	own := &laburnumv1.Record{
		Key: key, Team: workspace, Digest: digest, Owner: k.Owners.add(), State: laburnumv1.RecordState_RECORD_STATE_STARTED,
	}
	held, err := k.Log.Commit(ctx, toGlobalRecord(own))
	switch {
	case err != nil:
		k.Owners.remove(own.Owner)
		return OutcomeUnknown, nil, Error.Wrap(err)
	case held.Full:
		k.Owners.remove(own.Owner)
		return OutcomeUnknown, nil, ErrFull
	case held.Owner == own.Owner:
		return Run, own, nil
	}
	k.Owners.remove(own.Owner)
	return k.resolveRepeat(ctx, fromGlobalRecord(held), own)
}

// resolveRepeat returns the verdict on a key that another request owns, asking that owner if the record is still open.
func (k *LogRecorder) resolveRepeat(ctx context.Context, held, own *laburnumv1.Record) (Verdict, *laburnumv1.Record, error) {
	v := classifyRepeat(held, own.Digest)
	if v != InProgress {
		return v, held, nil
	}
	running, err := k.Network.Running(ctx, held.Owner, held)
	if err != nil || running {
		return ownerVerdict(err), held, nil
	}
	// The owner no longer runs the request. An owner ends its record before it stops running the request, so a second
	// commit reads the outcome. If the key has come free meanwhile, that commit claims it; the claim is withdrawn,
	// since the caller will retry.
	reread := toGlobalRecord(own)
	current, err := k.Log.Commit(ctx, reread)
	if err != nil || current.Full {
		return OutcomeUnknown, held, nil
	}
	if current.Owner == own.Owner {
		reread.NotRun = true
		_, err = k.Log.Commit(ctx, reread)
		return InProgress, held, err
	}
	held = fromGlobalRecord(current)
	if v = classifyRepeat(held, own.Digest); v == InProgress {
		v = OutcomeUnknown // the owner is gone
	}
	return v, held, nil
}

// Finish implements Recorder.
func (k *LogRecorder) Finish(ctx context.Context, own *laburnumv1.Record, state laburnumv1.RecordState, response *laburnumv1.StoredResponse) error {
	defer k.Owners.remove(own.Owner)
	end := toGlobalRecord(own)
	switch state {
	case laburnumv1.RecordState_RECORD_STATE_COMPLETED:
		end.Completed = true
		if proto.Size(response) <= maxLoggedResponseBytes {
			end.Response = response
		}
	case laburnumv1.RecordState_RECORD_STATE_NOT_RUN:
		end.NotRun = true
	default:
		return nil // without a running owner, a started record already means that the outcome is unknown
	}
	_, err := k.Log.Commit(ctx, end)
	return Error.Wrap(err)
}

func toGlobalRecord(r *laburnumv1.Record) *laburnumv1.GlobalRecord {
	return &laburnumv1.GlobalRecord{Key: r.Key, Team: r.Team, Digest: r.Digest, Owner: r.Owner}
}

func fromGlobalRecord(g *laburnumv1.GlobalRecord) *laburnumv1.Record {
	r := &laburnumv1.Record{
		Key: g.Key, Team: g.Team, Digest: g.Digest, Owner: g.Owner, Response: g.Response,
		State: laburnumv1.RecordState_RECORD_STATE_STARTED,
	}
	if g.Completed {
		r.State = laburnumv1.RecordState_RECORD_STATE_COMPLETED
	}
	return r
}
