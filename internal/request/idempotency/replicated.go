package idempotency

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// beginTimeout bounds how long a request waits for its record to be written.
	beginTimeout = 5 * time.Second
	// putTimeout bounds the concurrent writes of one record to all members of a group.
	putTimeout = time.Second
	// retryInterval is the time between two attempts to write a record.
	retryInterval = 50 * time.Millisecond
	// maxFinishAttempts bounds the attempts to write the outcome of a request.
	maxFinishAttempts = 5
)

// Network reaches the members of record groups.
type Network interface {
	// Group returns the record group of a data centre, or nil if there is none.
	Group(dataCentre string) *laburnumv1.RecordGroup
	// Put sends a request to a member.
	Put(ctx context.Context, member string, req *laburnumv1.PutRecordRequest) (*laburnumv1.PutRecordResponse, error)
	// Running asks the process of an owner whether it is still running a request.
	Running(ctx context.Context, owner string, r *laburnumv1.Record) (bool, error)
}

// Owners is the set of owner ids of the requests that this process is running. An owner id stands for one attempt to
// begin a request. Owners is safe for concurrent use.
type Owners struct {
	member  func() string // id of this incarnation
	counter atomic.Uint64

	mu      sync.Mutex
	running map[string]bool
}

// NewOwners returns an empty set; member returns the id of this incarnation of the process.
func NewOwners(member func() string) *Owners {
	return &Owners{member: member, running: make(map[string]bool)}
}

// add adds a new owner id, which consists of the member id and a counter, and returns it.
func (o *Owners) add() string {
	const base = 36
	owner := o.member() + "." + strconv.FormatUint(o.counter.Add(1), base)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running[owner] = true
	return owner
}

func (o *Owners) remove(owner string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.running, owner)
}

// Running reports whether this process is still running the owner's request.
func (o *Owners) Running(owner string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.running[owner]
}

// GroupRecorder writes records to the record groups of data centres. It implements Recorder.
//
// A request runs only after every member and learner of the group, all at the same epoch, has stored its record and
// the first member has accepted it as the key's owner. The members of consecutive epochs overlap, so that no key
// gets two owners.
type GroupRecorder struct {
	Network Network
	Owners  *Owners
	// RepairExpected reports whether the control log is reachable, so that a lost member can be expected to be removed
	// from its group soon.
	RepairExpected func() bool
}

// Begin implements Recorder.
func (k *GroupRecorder) Begin(ctx context.Context, key, workspace string, digest []byte) (Verdict, *laburnumv1.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	record := &laburnumv1.Record{Key: key, Team: workspace, Digest: digest, State: laburnumv1.RecordState_RECORD_STATE_STARTED}
	ownAttempts := make(map[string]bool)
	for {
		// Each attempt has an owner id of its own: a late withdrawal of one attempt cannot remove the next.
		record.Owner = k.Owners.add()
		ownAttempts[record.Owner] = true
		claim, err := k.claim(ctx, record)
		if err == nil && claim.owned {
			return Run, record, nil
		}
		k.Owners.remove(record.Owner)
		switch {
		case err != nil:
			return OutcomeUnknown, nil, err
		case claim.mayBeLost:
			return OutcomeUnknown, nil, nil
		case claim.unreachable == len(claim.group.Members)+len(claim.group.Learners), claim.unreachable > 0 && !k.RepairExpected():
			return OutcomeUnknown, nil, ErrUnreachable
		case claim.existing != nil && !ownAttempts[claim.existing.Owner]:
			verdict, existing, retry := k.resolveRepeat(ctx, claim, record)
			if !retry {
				return verdict, existing, nil
			}
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return OutcomeUnknown, nil, ErrUnreachable
		}
	}
}

// claimResult is the combined answer of a group's members and learners to a new record.
type claimResult struct {
	group       *laburnumv1.RecordGroup
	owned       bool               // the request owns the key, and every member and learner holds the record
	mayBeLost   bool               // an earlier record of the key may have been lost or have expired
	unreachable int                // number of members and learners that did not answer
	existing    *laburnumv1.Record // the key's record if another request owns it
}

// claim writes a record to all members and learners of the group. If not all of them accept it, it is withdrawn.
func (k *GroupRecorder) claim(ctx context.Context, record *laburnumv1.Record) (*claimResult, error) {
	dataCentre, _, _ := strings.Cut(record.Key, "/")
	group := k.Network.Group(dataCentre)
	if group == nil {
		return nil, ErrNoGroup
	}
	answers := k.putAll(ctx, group, record)
	c := &claimResult{group: group}
	first := answers[0]
	allAccepted := true
	for _, a := range answers {
		if a == nil {
			c.unreachable++
		}
		allAccepted = allAccepted && a != nil && !a.Refused && !a.Full && !a.Before
	}
	if first != nil && !first.Refused {
		c.mayBeLost = first.Before
		switch {
		case first.Full:
			k.withdraw(ctx, group, record)
			return nil, ErrFull
		case first.Record != nil && first.Record.Owner != record.Owner:
			c.existing = first.Record
		case first.Record != nil && allAccepted:
			c.owned = true
			return c, nil
		}
	}
	k.withdraw(ctx, group, record)
	return c, nil
}

// putAll writes a record to all members and learners concurrently. The answer of a member that was not reached is nil.
func (k *GroupRecorder) putAll(ctx context.Context, group *laburnumv1.RecordGroup, record *laburnumv1.Record) []*laburnumv1.PutRecordResponse {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	members := append(append([]string(nil), group.Members...), group.Learners...)
	answers := make([]*laburnumv1.PutRecordResponse, len(members))
	var wg sync.WaitGroup
	for i, member := range members {
		wg.Go(func() { answers[i] = k.put(ctx, group, member, record) })
	}
	wg.Wait()
	return answers
}

func (k *GroupRecorder) put(ctx context.Context, group *laburnumv1.RecordGroup, member string, record *laburnumv1.Record) *laburnumv1.PutRecordResponse {
	req := &laburnumv1.PutRecordRequest{DataCentre: group.DataCentre, Epoch: group.Epoch, Member: member, Record: record}
	resp, err := k.Network.Put(ctx, member, req)
	if err != nil {
		return nil
	}
	return resp
}

// withdraw removes the record of a request that was not dispatched. If a member does not get the withdrawal, repeats
// may be told that the outcome is unknown.
func (k *GroupRecorder) withdraw(ctx context.Context, group *laburnumv1.RecordGroup, record *laburnumv1.Record) {
	withdrawn := proto.Clone(record).(*laburnumv1.Record)
	withdrawn.State = laburnumv1.RecordState_RECORD_STATE_NOT_RUN
	k.putAll(context.WithoutCancel(ctx), group, withdrawn)
}

// resolveRepeat returns the verdict on a key that another request owns, asking that owner if the record is still
// open. retry is true if the key has come free meanwhile.
func (k *GroupRecorder) resolveRepeat(ctx context.Context, c *claimResult, own *laburnumv1.Record) (v Verdict, existing *laburnumv1.Record, retry bool) {
	v = classifyRepeat(c.existing, own.Digest)
	if v != InProgress {
		return v, c.existing, false
	}
	if running, err := k.Network.Running(ctx, c.existing.Owner, c.existing); err != nil || running {
		return ownerVerdict(err), c.existing, false
	}
	// The owner no longer runs the request. An owner ends its record before it stops running the request, so the
	// record is read again.
	read := &laburnumv1.Record{Key: own.Key, Team: own.Team}
	resp := k.put(ctx, c.group, c.group.Members[0], read)
	switch {
	case resp == nil || resp.Refused:
		return OutcomeUnknown, c.existing, false
	case resp.Record == nil:
		return OutcomeUnknown, nil, true
	}
	v = classifyRepeat(resp.Record, own.Digest)
	if v == InProgress {
		v = OutcomeUnknown // the owner is gone
	}
	return v, resp.Record, false
}

// ownerVerdict returns the verdict on an open record: InProgress if its owner still runs the request, or OutcomeUnknown
// if err says that the owner could not be asked.
func ownerVerdict(err error) Verdict {
	if err != nil {
		return OutcomeUnknown
	}
	return InProgress
}

// Finish implements Recorder.
func (k *GroupRecorder) Finish(ctx context.Context, own *laburnumv1.Record, state laburnumv1.RecordState, response *laburnumv1.StoredResponse) error {
	defer k.Owners.remove(own.Owner)
	end := proto.Clone(own).(*laburnumv1.Record)
	end.State = state
	if proto.Size(response) <= maxResponseBytes {
		end.Response = response
	}
	dataCentre, _, _ := strings.Cut(own.Key, "/")
	for range maxFinishAttempts {
		group := k.Network.Group(dataCentre)
		if group != nil && storedByAll(k.putAll(ctx, group, end)) {
			return nil
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		}
	}
	return ErrUnreachable
}

// storedByAll reports whether every member and learner stored a record.
func storedByAll(answers []*laburnumv1.PutRecordResponse) bool {
	for _, a := range answers {
		if a == nil || a.Refused {
			return false
		}
	}
	return true
}
