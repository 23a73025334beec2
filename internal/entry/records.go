package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"laburnumrouter/internal/request/idempotency"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// recordSyncInterval is the interval at which a learner checks whether it lacks records.
	recordSyncInterval = 200 * time.Millisecond
	// recordPageTimeout limits the transfer of one page of records.
	recordPageTimeout = 5 * time.Second
	// maxRepairQuorumAge: while the last news of the control quorum is younger than this, the control log is taken to work,
	// so that a lost member will soon be removed from its record group.
	maxRepairQuorumAge = 5 * time.Second
)

// recorder is this entry's part in idempotency records: it writes the records of its own requests, and stores those of
// its data centre if it belongs to the record group.
type recorder struct {
	entry       *Entry
	store       *idempotency.Store
	owners      *idempotency.Owners
	syncedEpoch atomic.Uint64 // epoch of the record group at which this entry, as a learner, last fetched all records
}

func newRecorder(e *Entry) *recorder {
	return &recorder{entry: e, store: idempotency.NewStore(), owners: idempotency.NewOwners(e.memberID)}
}

// keyRouter returns the recorder for all requests with an idempotency key.
func (r *recorder) keyRouter() *idempotency.KeyRouter {
	network := &recordNetwork{recorder: r}
	repairExpected := func() bool { return r.entry.quorumContact.Age(r.entry.now()) < maxRepairQuorumAge }
	return &idempotency.KeyRouter{
		DataCentres: &idempotency.GroupRecorder{Network: network, Owners: r.owners, RepairExpected: repairExpected},
		ControlLog: &idempotency.LogRecorder{
			Log: &controlLog{entry: r.entry}, Network: network, Owners: r.owners,
			MayHaveExpired: func(key string) bool { return idempotency.TooOld(key, r.entry.now()) },
		},
	}
}

// put handles a write as a member of the own data centre's record group.
func (r *recorder) put(req *laburnumv1.PutRecordRequest) *laburnumv1.PutRecordResponse {
	r.refresh()
	return r.store.Put(r.entry.now(), req)
}

// refresh updates the store with the current record group and whether this entry is fenced.
func (r *recorder) refresh() {
	e := r.entry
	r.store.SetGroup(e.memberID(), e.store.View().RecordGroup(e.settings.DataCentre), e.escrowMember.fenced(e.now()))
}

// syncLoop runs until ctx ends. While this entry is a learner of the record group, which receives every write but lacks
// older records, it fetches those.
func (r *recorder) syncLoop(ctx context.Context) error {
	return every(ctx, recordSyncInterval, func() {
		e := r.entry
		group := e.store.View().RecordGroup(e.settings.DataCentre)
		if !slices.Contains(group.GetLearners(), e.memberID()) || r.syncedEpoch.Load() == group.GetEpoch() {
			return
		}
		count, err := r.sync(ctx, group)
		if err != nil {
			e.log.Debug("records not fetched", "from", group.Members[0], "error", err)
			return
		}
		r.syncedEpoch.Store(group.Epoch)
		e.log.Info("records fetched", "from", group.Members[0], "epoch", group.Epoch, "records", count)
	})
}

var errNotMember = Error.New("the member is not a known peer or does not serve this epoch of the record group")

// sync fetches all records from the first member of the group. That member answers only once it uses the group's epoch;
// from then on it refuses writes of earlier epochs, which are not sent to this entry.
func (r *recorder) sync(ctx context.Context, group *laburnumv1.RecordGroup) (count int, err error) {
	p := r.entry.peerOf(group.Members[0])
	if p == nil {
		return 0, errNotMember
	}
	for after := ""; ; {
		pageCtx, cancel := context.WithTimeout(ctx, recordPageTimeout)
		resp, err := p.Record.Sync(pageCtx, &laburnumv1.SyncRecordsRequest{DataCentre: group.DataCentre, Epoch: group.Epoch, After: after})
		cancel()
		if err != nil {
			return count, err
		}
		if resp.Refused {
			return count, errNotMember
		}
		r.store.Merge(resp.Records)
		count += len(resp.Records)
		if after = resp.Next; after == "" {
			return count, nil
		}
	}
}

// recordServer serves the other entries that write records or learn them.
type recordServer struct {
	recorder *recorder
}

// Put implements RecordService.
func (s *recordServer) Put(_ context.Context, req *laburnumv1.PutRecordRequest) (*laburnumv1.PutRecordResponse, error) {
	if req.DataCentre != s.recorder.entry.settings.DataCentre {
		return &laburnumv1.PutRecordResponse{Refused: true}, nil
	}
	return s.recorder.put(req), nil
}

// Sync implements RecordService.
func (s *recordServer) Sync(_ context.Context, req *laburnumv1.SyncRecordsRequest) (*laburnumv1.SyncRecordsResponse, error) {
	s.recorder.refresh()
	records, next, ok := s.recorder.store.Page(s.recorder.entry.now(), req.Epoch, req.After)
	return &laburnumv1.SyncRecordsResponse{Epoch: req.Epoch, Refused: !ok, Records: records, Next: next}, nil
}

// Running implements RecordService.
func (s *recordServer) Running(_ context.Context, req *laburnumv1.RunningRequest) (*laburnumv1.RunningResponse, error) {
	return &laburnumv1.RunningResponse{Running: s.recorder.owners.Running(req.Owner)}, nil
}

// recordNetwork reaches the members of record groups over the connections to the other entries.
type recordNetwork struct {
	recorder *recorder
}

// Group implements idempotency.Network.
func (n *recordNetwork) Group(dataCentre string) *laburnumv1.RecordGroup {
	return n.recorder.entry.store.View().RecordGroup(dataCentre)
}

// Put implements idempotency.Network.
func (n *recordNetwork) Put(ctx context.Context, member string, req *laburnumv1.PutRecordRequest) (*laburnumv1.PutRecordResponse, error) {
	e := n.recorder.entry
	if member == e.memberID() {
		return n.recorder.put(req), nil
	}
	p := e.peerOf(member)
	if p == nil {
		return nil, errNotMember
	}
	return p.Record.Put(ctx, req)
}

// Running implements idempotency.Network.
func (n *recordNetwork) Running(ctx context.Context, owner string, r *laburnumv1.Record) (bool, error) {
	p := n.recorder.entry.peerOf(owner)
	if p == nil {
		return n.recorder.owners.Running(owner), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := p.Record.Running(ctx, &laburnumv1.RunningRequest{Owner: owner, Key: r.Key, Team: r.Team})
	return resp.GetRunning(), err
}

// controlLog commits records through the control instances. It implements idempotency.Log.
type controlLog struct {
	entry       *Entry
	nextControl atomic.Int32 // index of the control instance to ask first: the one that last answered or, after a failure, the next one
}

// Commit implements idempotency.Log.
func (c *controlLog) Commit(ctx context.Context, g *laburnumv1.GlobalRecord) (*laburnumv1.GlobalRecord, error) {
	req := &laburnumv1.CommitRecordsRequest{Records: []*laburnumv1.GlobalRecord{g}}
	controls := c.entry.controls
	var err error
	for range controls {
		at := int(c.nextControl.Load()) % len(controls)
		var resp *laburnumv1.CommitRecordsResponse
		resp, err = c.commitAt(ctx, at, req)
		if err == nil && len(resp.Records) == 1 {
			return resp.Records[0], nil
		}
		c.nextControl.CompareAndSwap(int32(at), int32(at+1))
	}
	return nil, err
}

func (c *controlLog) commitAt(ctx context.Context, at int, req *laburnumv1.CommitRecordsRequest) (*laburnumv1.CommitRecordsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.entry.controls[at].GlobalRecords.Commit(ctx, req)
}
