package idempotency

import (
	"slices"
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// maxRecords bounds the records of a member, maxTeam those of one team.
	maxRecords = 64 << 10
	maxTeam    = 16 << 10
	// maxBytes bounds what the records of a member take, in bytes; recordBytes is added for each.
	maxBytes    = 24 << 20
	recordBytes = 256
	// maxAnswer is the largest answer that is kept, in bytes.
	maxAnswer = 64 << 10
	// maxOwners bounds the requests with one key that race for it at one member.
	maxOwners = 16
	// pageBytes is the size at which a page of records is full.
	pageBytes = 256 << 10
)

// Store holds the records of a data centre at one member of its group. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	self    string
	fenced  bool
	group   *laburnumv1.RecordGroup
	records map[string]*stored // by team and key
	teams   map[string]int     // records by team
	bytes   int
}

// stored is a record with the owners that race for its key. The first member decides who wins; the others
// keep all, as they do not know the winner.
type stored struct {
	record *laburnumv1.Record
	rivals []string
}

// NewStore returns an empty store that belongs to no group.
func NewStore() *Store { return &Store{records: make(map[string]*stored), teams: make(map[string]int)} }

func recordID(r *laburnumv1.Record) string { return r.GetTeam() + "\x00" + r.GetKey() }

// SetGroup names the group and this member. While fenced, the member takes no part: others may go on without it.
func (s *Store) SetGroup(self string, group *laburnumv1.RecordGroup, fenced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.self, s.fenced = self, fenced
	// Who read the group before a change may come after who read the change: a member never goes back to an older epoch.
	if group.GetEpoch() >= s.group.GetEpoch() {
		s.group = group
	}
}

// member reports whether this member takes part in writes of the epoch.
func (s *Store) member(epoch uint64) bool {
	if s.fenced || epoch != s.group.GetEpoch() {
		return false
	}
	return slices.Contains(s.group.GetMembers(), s.self) || slices.Contains(s.group.GetLearners(), s.self)
}

// first reports whether this member decides who owns a key.
func (s *Store) first() bool { return len(s.group.GetMembers()) > 0 && s.group.Members[0] == s.self }

// Put writes, updates, takes back or, with an unspecified state, reads a record.
func (s *Store) Put(now time.Time, req *laburnumv1.PutRecordRequest) *laburnumv1.PutRecordResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := &laburnumv1.PutRecordResponse{Epoch: s.group.GetEpoch()}
	if req.Member != s.self || !s.member(req.Epoch) {
		resp.Refused = true
		return resp
	}
	r := req.GetRecord()
	current := s.live(now, recordID(r))
	switch r.GetState() {
	case laburnumv1.RecordState_RECORD_STATE_STARTED:
		s.start(now, current, r, resp)
		return resp
	case laburnumv1.RecordState_RECORD_STATE_NOT_RUN:
		s.takeBack(current, r)
	case laburnumv1.RecordState_RECORD_STATE_COMPLETED, laburnumv1.RecordState_RECORD_STATE_UNKNOWN:
		s.finish(now, current, r)
	}
	if left := s.records[recordID(r)]; left != nil {
		resp.Record = left.record
	}
	return resp
}

// live returns the record of an id unless it has expired.
func (s *Store) live(now time.Time, id string) *stored {
	e := s.records[id]
	if e != nil && expired(now, e.record) {
		s.drop(id)
		return nil
	}
	return e
}

func expired(now time.Time, r *laburnumv1.Record) bool {
	return now.UnixMilli()-r.AtUnixMs > Retention.Milliseconds()
}

func (s *Store) start(now time.Time, current *stored, r *laburnumv1.Record, resp *laburnumv1.PutRecordResponse) {
	if current != nil {
		resp.Full = !s.first() && !current.race(r.Owner)
		resp.Record = current.record
		return
	}
	if before(r.Key, time.UnixMilli(s.group.GetCompleteSinceUnixMs()), now) {
		resp.Before = true
		return
	}
	if !s.room(now, r) {
		resp.Full = true
		return
	}
	kept := proto.Clone(r).(*laburnumv1.Record)
	kept.AtUnixMs = now.UnixMilli()
	s.keep(kept)
	resp.Record = kept
}

// race adds an owner that races for the key. It returns false if there are too many.
func (e *stored) race(owner string) bool {
	open := e.record.State == laburnumv1.RecordState_RECORD_STATE_STARTED
	if !open || e.record.Owner == owner || slices.Contains(e.rivals, owner) {
		return true
	}
	if len(e.rivals) >= maxOwners {
		return false
	}
	e.rivals = append(e.rivals, owner)
	return true
}

// takeBack removes an owner whose request provably did not run.
func (s *Store) takeBack(current *stored, r *laburnumv1.Record) {
	if current == nil || current.record.State != laburnumv1.RecordState_RECORD_STATE_STARTED {
		return
	}
	if at := slices.Index(current.rivals, r.Owner); at >= 0 {
		current.rivals = slices.Delete(current.rivals, at, at+1)
		return
	}
	if current.record.Owner != r.Owner {
		return
	}
	if len(current.rivals) == 0 {
		s.drop(recordID(r))
		return
	}
	next := proto.Clone(current.record).(*laburnumv1.Record)
	next.Owner = current.rivals[0]
	current.record, current.rivals = next, current.rivals[1:]
}

// finish keeps the end of a request; the first end counts.
func (s *Store) finish(now time.Time, current *stored, r *laburnumv1.Record) {
	if current != nil && current.record.State == laburnumv1.RecordState_RECORD_STATE_COMPLETED {
		return
	}
	kept := proto.Clone(r).(*laburnumv1.Record)
	kept.AtUnixMs = now.UnixMilli()
	if current != nil {
		kept.AtUnixMs = current.record.AtUnixMs
	}
	if s.bytes+size(kept) > maxBytes {
		kept.Response = nil
	}
	s.keep(kept)
}

func (s *Store) keep(r *laburnumv1.Record) {
	id := recordID(r)
	s.drop(id)
	s.records[id] = &stored{record: r}
	s.teams[r.Team]++
	s.bytes += size(r)
}

func (s *Store) drop(id string) {
	e := s.records[id]
	if e == nil {
		return
	}
	delete(s.records, id)
	s.bytes -= size(e.record)
	if s.teams[e.record.Team]--; s.teams[e.record.Team] == 0 {
		delete(s.teams, e.record.Team)
	}
}

func size(r *laburnumv1.Record) int { return recordBytes + proto.Size(r) }

// room reports whether a further record fits, after the expired ones have gone.
func (s *Store) room(now time.Time, r *laburnumv1.Record) bool {
	fits := func() bool {
		return len(s.records) < maxRecords && s.teams[r.Team] < maxTeam && s.bytes+size(r) <= maxBytes
	}
	if fits() {
		return true
	}
	for id, e := range s.records {
		if expired(now, e.record) {
			s.drop(id)
		}
	}
	return fits()
}

// Page returns the records after a position, for a new member, and the position of the next page. ok is false
// if this store is no member at the epoch.
func (s *Store) Page(now time.Time, epoch uint64, after string) (records []*laburnumv1.Record, next string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.member(epoch) || !slices.Contains(s.group.Members, s.self) {
		return nil, "", false
	}
	var ids []string
	for id := range s.records {
		if id > after {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	total := 0
	for _, id := range ids {
		if total > pageBytes {
			return records, next, true
		}
		if e := s.live(now, id); e != nil {
			records = append(records, e.record)
			total += size(e.record)
		}
		next = id
	}
	return records, "", true
}

// Merge takes in a page of an older member's records.
func (s *Store) Merge(records []*laburnumv1.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		e := s.records[recordID(r)]
		if e == nil || e.record.State == laburnumv1.RecordState_RECORD_STATE_STARTED {
			s.keep(r)
			if e != nil && e.record.Owner != r.Owner {
				s.records[recordID(r)].rivals = append(e.rivals, e.record.Owner)
			}
		}
	}
}

// Count returns the records and what they take in bytes.
func (s *Store) Count() (records, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records), s.bytes
}
