package dispatch

import (
	"fmt"

	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

// Limits bounds the state that calls may create, in bytes; 0 means no limit.
type Limits struct {
	// ConfigBytes is the size of the largest configuration, as sent.
	ConfigBytes int64
	// RecordBytes is the approximate size of the records of jobs, waves and servers beyond which new ones are rejected.
	RecordBytes int64
	// StateBytes is the size of the largest snapshot, and CommandBytes that of the largest command.
	StateBytes, CommandBytes int64
	// WholeConfigs is set if the disk has no room for the chunks of earlier and coming configurations.
	WholeConfigs bool
}

const (
	// configFraction is the part of the memory that a configuration, as sent, may have.
	configFraction = 64
	// storedFactor is the size of the largest stored form of a configuration in relation to that of the largest configuration as sent.
	storedFactor = 8
	// recordsFraction is the part of the memory that records may take up. A snapshot of them takes as much again.
	recordsFraction = 10
	// growthFraction is the part of a snapshot that is left for what accepted records grow by, such as the ends of runs, and for
	// the next configuration.
	growthFraction = 8
	// leastChunkedState is the size of the largest snapshot from which on configurations go through the log in chunks: twice those that
	// are staged at most.
	leastChunkedState = 16 << 20
)

// LimitsFor returns the limits of a process with a limit on its memory, in bytes, and the budget of its log.
func LimitsFor(memory int64, b replica.Budget) Limits {
	return Limits{
		ConfigBytes: memory / configFraction, RecordBytes: memory / recordsFraction,
		StateBytes: int64(b.StateBytes), CommandBytes: int64(b.CommandBytes),
		WholeConfigs: b.StateBytes > 0 && b.StateBytes < leastChunkedState,
	}
}

// records returns the size of all records beyond which new ones are rejected, beside configurations that have a size in a snapshot.
func (l Limits) records(configs int64) int64 {
	if l.StateBytes == 0 {
		return l.RecordBytes
	}
	limit := max(1, l.StateBytes-l.StateBytes/growthFraction-configs)
	if l.RecordBytes > 0 {
		limit = min(limit, l.RecordBytes)
	}
	return limit
}

var (
	errRecordsFull = Error.New("jobs that are waiting, running or kept after their end, waves and servers take up all the room for them")
	errConfigFull  = Error.New("there is no room for the configuration beside the records of jobs, waves and servers")
)

// reserve sets room aside for the record that a command creates until release is called, once the command is committed or won't be. It
// returns the reply that rejects the command if there is no room.
func (s *session) reserve(op Op, record, command int) (release func(), refusal *Reply) {
	size := int64(record)
	if limit := s.limits.records(0); limit > 0 && size > limit {
		return nil, &Reply{Outcome: Invalid, Reason: fmt.Sprintf("its record has %d bytes; there is room for %d", size, limit)}
	}
	if limit := s.limits.CommandBytes; limit > 0 && int64(command) > limit {
		return nil, &Reply{Outcome: Invalid, Reason: fmt.Sprintf("it takes up %d bytes; there is room for %d", command, limit)}
	}
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	limit := s.limits.records(int64(s.engine.ledger.ConfigBytes()+s.engine.ledger.ExpiringBytes()) + s.proposedChunkBytes)
	if limit > 0 && int64(s.engine.ledger.RecordBytes())+s.proposedBytes+size > limit {
		return nil, overloadedReply(op, errRecordsFull)
	}
	s.proposedBytes += size
	return func() {
		s.engine.mu.Lock()
		defer s.engine.mu.Unlock()
		s.proposedBytes -= size
	}, nil
}

// refuseConfig returns the reply that rejects a configuration that the memory has no room for, or nil.
func (s *session) refuseConfig(sent int64) *Reply {
	if s.limits.ConfigBytes == 0 || sent <= s.limits.ConfigBytes {
		return nil
	}
	return &Reply{Outcome: Invalid, Reason: fmt.Sprintf("the configuration has %d bytes; this instance has memory for %d", sent, s.limits.ConfigBytes)}
}

// refuseAssembly returns the reply that rejects a configuration whose stored form the memory has no room for, or nil.
func (s *session) refuseAssembly(m *accepted.Manifest) *Reply {
	limit := storedFactor * s.limits.ConfigBytes
	if limit == 0 || int64(m.Bytes) <= limit {
		return nil
	}
	return &Reply{Outcome: Invalid, Reason: fmt.Sprintf("the configuration has %d bytes with its decoded parts; this instance has memory for %d", m.Bytes, limit)}
}

// refuseStored returns the reply that rejects a configuration that a snapshot has no room for, or nil.
func (s *session) refuseStored(c *ledger.Command) *Reply {
	if s.limits.StateBytes == 0 {
		return nil
	}
	size := int64(c.ConfigBytes())
	if size > s.limits.CommandBytes {
		return &Reply{Outcome: Invalid, Reason: fmt.Sprintf("the configuration takes up %d bytes on disk; there is room for %d", size, s.limits.CommandBytes)}
	}
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if int64(s.engine.ledger.Bytes())+s.proposedBytes+s.proposedChunkBytes+size > s.limits.StateBytes {
		return overloadedReply(OpPutConfig, errConfigFull)
	}
	return nil
}

// refuseChunked returns the reply that rejects a configuration in chunks that a snapshot has no room for, or nil. lacking is the size of
// those of its chunks that the log lacks, as far as it is known. The chunks of the configuration in force stay for a while beside it.
func (s *session) refuseChunked(m *accepted.Manifest, lacking int64) *Reply {
	if s.limits.StateBytes == 0 {
		return nil
	}
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if size := int64(s.engine.ledger.ManifestBytes(m)) + lacking; size > s.limits.CommandBytes {
		return &Reply{Outcome: Invalid, Reason: fmt.Sprintf("the configuration takes up %d bytes on disk; there is room for %d", size, s.limits.CommandBytes)}
	}
	if s.stateBytesLocked()+lacking+int64(manifestEntryBytes(m)) > s.limits.StateBytes {
		return overloadedReply(OpPutConfig, errConfigFull)
	}
	return nil
}

// stateBytesLocked returns the size of a snapshot, with what is being committed.
func (s *session) stateBytesLocked() int64 {
	return int64(s.engine.ledger.Bytes()+s.engine.ledger.ConfigBytes()) + s.proposedBytes + s.proposedChunkBytes
}
