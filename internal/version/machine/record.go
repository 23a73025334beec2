package machine

import (
	"time"

	"google.golang.org/protobuf/proto"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// RecordRetention is how long an idempotency record whose key names no data centre is kept after its first write.
	RecordRetention = time.Hour
	// maxRecordsPerWorkspace limits the records of a workspace in the log.
	maxRecordsPerWorkspace = 4096
	// sweepIntervalEntries is the number of log entries between two sweeps of the expired records of all workspaces.
	sweepIntervalEntries = 1024
	// maxAnswerBytes bounds the answers of all records. It is kept by WithoutExcessAnswers, before a batch is proposed.
	maxAnswerBytes = 16 << 20
)

// WithoutExcessAnswers removes from a batch that is to be proposed the answers for which there is no room, and returns their
// number. A repeat of such a request is told that it was completed, and that its answer isn't kept.
func (m *Machine) WithoutExcessAnswers(b *laburnumv1.RecordBatch) (removed int) {
	total := m.answerBytes
	for _, r := range b.GetRecords() {
		size := proto.Size(r.Response)
		if r.Response != nil && total+size > maxAnswerBytes {
			r.Response = nil
			removed++
			continue
		}
		total += size
	}
	return removed
}

func recordID(r *laburnumv1.GlobalRecord) string { return r.GetTeam() + "\x00" + r.GetKey() }

// putRecords applies each record of a batch. The first owner of a key keeps it until the record expires, or until the
// owner reports with NotRun, before completion, that nothing ran. The result holds the answer for each record.
func (s *commandApplier) putRecords(b *laburnumv1.RecordBatch) {
	if s.index%sweepIntervalEntries == 0 {
		s.sweepRecords("")
	}
	for _, r := range b.GetRecords() {
		s.result.Records = append(s.result.Records, s.putRecord(r))
	}
}

func (s *commandApplier) putRecord(r *laburnumv1.GlobalRecord) *laburnumv1.GlobalRecord {
	id := recordID(r)
	current := s.Records[id]
	if current != nil && s.expired(current) {
		s.dropRecord(id)
		current = nil
	}
	if current != nil && current.Owner != r.Owner {
		return current
	}
	if r.NotRun {
		if current != nil && !current.Completed {
			s.dropRecord(id)
		}
		return r
	}
	if current != nil && (current.Completed || !r.Completed) {
		return current
	}
	if current == nil && !s.hasRoomForRecord(r.Team) {
		return &laburnumv1.GlobalRecord{Key: r.Key, Team: r.Team, Owner: r.Owner, Full: true}
	}
	if current == nil {
		s.recordCounts[r.Team]++
		r.AtUnix = s.cmd.AtUnixMs / 1000
	} else {
		r.AtUnix = current.AtUnix
	}
	s.answerBytes += proto.Size(r.Response) - proto.Size(current.GetResponse())
	s.Records[id] = r
	return r
}

func (s *commandApplier) expired(r *laburnumv1.GlobalRecord) bool {
	return s.cmd.AtUnixMs/1000-r.AtUnix > int64(RecordRetention/time.Second)
}

// hasRoomForRecord reports whether the workspace may store one more record. A workspace at its limit is swept first.
func (s *commandApplier) hasRoomForRecord(workspace string) bool {
	if s.recordCounts[workspace] >= maxRecordsPerWorkspace {
		s.sweepRecords(workspace)
	}
	return s.recordCounts[workspace] < maxRecordsPerWorkspace
}

// sweepRecords drops the expired records of a workspace, or of all workspaces.
func (s *commandApplier) sweepRecords(workspace string) {
	for id, r := range s.Records {
		if (workspace == "" || r.Team == workspace) && s.expired(r) {
			s.dropRecord(id)
		}
	}
}

func (s *commandApplier) dropRecord(id string) {
	workspace := s.Records[id].GetTeam()
	s.answerBytes -= proto.Size(s.Records[id].GetResponse())
	delete(s.Records, id)
	if s.recordCounts[workspace]--; s.recordCounts[workspace] <= 0 {
		delete(s.recordCounts, workspace)
	}
}
