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
	// maxRecords bounds the number of records at a member, maxWorkspaceRecords the number of one workspace's.
	maxRecords          = 64 << 10
	maxWorkspaceRecords = 16 << 10
	// maxStoreBytes bounds the total size of a member's records. The size of a record is its encoded size plus
	// recordOverheadBytes.
	maxStoreBytes       = 24 << 20
	recordOverheadBytes = 256
	// maxResponseBytes is the size of the largest answer that is stored.
	maxResponseBytes = 64 << 10
	// maxContenders bounds the requests that compete for one key at one member, besides the recorded owner.
	maxContenders = 16
	// pageBytes is the size beyond which no further record is added to a page.
	pageBytes = 256 << 10
)

// Store holds the records of a data centre at one member or learner of its record group. It is safe for concurrent use.
type Store struct {
	mu         sync.Mutex
	self       string
	fenced     bool
	group      *laburnumv1.RecordGroup
	records    map[string]*recordEntry // by workspace and key
	workspaces map[string]int          // number of records by workspace
	bytes      int
}

// recordEntry is a record with the other owners that compete for its key. The first member of the group decides
// which owner wins; the other members do not know the winner and therefore keep all contenders.
type recordEntry struct {
	record     *laburnumv1.Record
	contenders []string
}

// NewStore returns an empty store without a group.
func NewStore() *Store {
	return &Store{records: make(map[string]*recordEntry), workspaces: make(map[string]int)}
}

func recordID(r *laburnumv1.Record) string { return r.GetTeam() + "\x00" + r.GetKey() }

// SetGroup sets the group and this member's id. While fenced, the member refuses all requests, because the others
// may already have gone on without it.
func (s *Store) SetGroup(self string, group *laburnumv1.RecordGroup, fenced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.self, s.fenced = self, fenced
	// Concurrent callers may pass an older group after a newer one: a member never goes back to an older epoch.
	if group.GetEpoch() >= s.group.GetEpoch() {
		s.group = group
	}
}

// participatesIn reports whether this store is an unfenced member or learner of the group at the epoch.
func (s *Store) participatesIn(epoch uint64) bool {
	if s.fenced || epoch != s.group.GetEpoch() {
		return false
	}
	return slices.Contains(s.group.GetMembers(), s.self) || slices.Contains(s.group.GetLearners(), s.self)
}

// isFirstMember reports whether this member is the group's first, which decides who owns a key.
func (s *Store) isFirstMember() bool {
	return len(s.group.GetMembers()) > 0 && s.group.Members[0] == s.self
}

// Put starts, ends or withdraws a record or, with an unspecified state, reads it.
func (s *Store) Put(now time.Time, req *laburnumv1.PutRecordRequest) *laburnumv1.PutRecordResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := &laburnumv1.PutRecordResponse{Epoch: s.group.GetEpoch()}
	if req.Member != s.self || !s.participatesIn(req.Epoch) {
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
		s.withdraw(current, r)
	case laburnumv1.RecordState_RECORD_STATE_COMPLETED, laburnumv1.RecordState_RECORD_STATE_UNKNOWN:
		s.finish(now, current, r)
	}
	if remaining := s.records[recordID(r)]; remaining != nil {
		resp.Record = remaining.record
	}
	return resp
}

// live returns the entry of an id, or nil if there is none. An expired entry is dropped.
func (s *Store) live(now time.Time, id string) *recordEntry {
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

// start stores a new record. If the key has a record already, it adds the owner to the contenders, except at the first
// member, which decides the winner and keeps no contenders.
func (s *Store) start(now time.Time, current *recordEntry, r *laburnumv1.Record, resp *laburnumv1.PutRecordResponse) {
	if current != nil {
		resp.Full = !s.isFirstMember() && !current.addContender(r.Owner)
		resp.Record = current.record
		return
	}
	if mayHaveLostRecord(r.Key, time.UnixMilli(s.group.GetCompleteSinceUnixMs()), now) {
		resp.Before = true // the key may have had a record before
		return
	}
	if !s.hasRoom(now, r) {
		resp.Full = true
		return
	}
	kept := proto.Clone(r).(*laburnumv1.Record)
	kept.AtUnixMs = now.UnixMilli()
	s.set(kept)
	resp.Record = kept
}

// addContender adds an owner that competes for the key. It returns false if there are too many.
func (e *recordEntry) addContender(owner string) bool {
	inProgress := e.record.State == laburnumv1.RecordState_RECORD_STATE_STARTED
	if !inProgress || e.record.Owner == owner || slices.Contains(e.contenders, owner) {
		return true
	}
	if len(e.contenders) >= maxContenders {
		return false
	}
	e.contenders = append(e.contenders, owner)
	return true
}

// withdraw removes an owner whose request provably did not run. If it held the record, the first contender takes
// its place; without contenders the record is dropped.
func (s *Store) withdraw(current *recordEntry, r *laburnumv1.Record) {
	if current == nil || current.record.State != laburnumv1.RecordState_RECORD_STATE_STARTED {
		return
	}
	if at := slices.Index(current.contenders, r.Owner); at >= 0 {
		current.contenders = slices.Delete(current.contenders, at, at+1)
		return
	}
	if current.record.Owner != r.Owner {
		return
	}
	if len(current.contenders) == 0 {
		s.drop(recordID(r))
		return
	}
	next := proto.Clone(current.record).(*laburnumv1.Record)
	next.Owner = current.contenders[0]
	current.record, current.contenders = next, current.contenders[1:]
}

// finish stores the outcome of a request, unless a completed one is stored already. The answer is left out if it
// does not fit.
func (s *Store) finish(now time.Time, current *recordEntry, r *laburnumv1.Record) {
	if current != nil && current.record.State == laburnumv1.RecordState_RECORD_STATE_COMPLETED {
		return
	}
	kept := proto.Clone(r).(*laburnumv1.Record)
	kept.AtUnixMs = now.UnixMilli()
	if current != nil {
		kept.AtUnixMs = current.record.AtUnixMs
	}
	if s.bytes+size(kept) > maxStoreBytes {
		kept.Response = nil
	}
	s.set(kept)
}

// set stores a record without contenders in place of any other with its id.
func (s *Store) set(r *laburnumv1.Record) {
	id := recordID(r)
	s.drop(id)
	s.records[id] = &recordEntry{record: r}
	s.workspaces[r.Team]++
	s.bytes += size(r)
}

func (s *Store) drop(id string) {
	e := s.records[id]
	if e == nil {
		return
	}
	delete(s.records, id)
	s.bytes -= size(e.record)
	if s.workspaces[e.record.Team]--; s.workspaces[e.record.Team] == 0 {
		delete(s.workspaces, e.record.Team)
	}
}

func size(r *laburnumv1.Record) int { return recordOverheadBytes + proto.Size(r) }

// hasRoom reports whether a further record fits. It drops expired records if necessary.
func (s *Store) hasRoom(now time.Time, r *laburnumv1.Record) bool {
	fits := func() bool {
		return len(s.records) < maxRecords && s.workspaces[r.Team] < maxWorkspaceRecords && s.bytes+size(r) <= maxStoreBytes
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

// Page returns the records after a position, for a learner, and the position of the next page, which is empty after
// the last one. ok is false if this store is not a member at the epoch.
func (s *Store) Page(now time.Time, epoch uint64, after string) (records []*laburnumv1.Record, next string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.participatesIn(epoch) || !slices.Contains(s.group.Members, s.self) {
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

// Merge adds a page of another member's records. A record that has already ended here is kept. One that is still open
// here is replaced by that of the page; if their owners differ, the owner of the replaced record becomes a contender.
func (s *Store) Merge(records []*laburnumv1.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		e := s.records[recordID(r)]
		if e == nil || e.record.State == laburnumv1.RecordState_RECORD_STATE_STARTED {
			s.set(r)
			if e != nil && e.record.Owner != r.Owner {
				s.records[recordID(r)].contenders = append(e.contenders, e.record.Owner)
			}
		}
	}
}

// Count returns the number of records and their total size in bytes.
func (s *Store) Count() (records, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records), s.bytes
}
