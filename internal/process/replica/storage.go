package replica

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumrouter/internal/process/journal"
	"laburnumrouter/internal/process/replica/core"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// storage does the node's work on the journal on a goroutine of its own, in order, so that a slow disk doesn't hold up
// the consensus. Its methods may be called from any goroutine.
type storage struct {
	journal *journal.Journal
	log     hclog.Logger
	// pause is the time between two tries to write a received snapshot.
	pause time.Duration
	// serial makes each write durable by itself; otherwise all queued ones become durable together.
	serial bool
	// finished delivers the tasks that are done, in order. After an error nothing more is delivered.
	finished chan storageResult
	wake     chan struct{}
	stopping chan struct{}
	stopped  chan struct{}

	mu     sync.Mutex
	queue  []storageTask
	queued int // size of queue in bytes
}

// storageTask is one piece of work; exactly one field is set.
type storageTask struct {
	write *core.Write
	save  *ownSnapshot
	// chunk is a snapshot message whose bytes are to be read.
	chunk *core.Message
}

// ownSnapshot is a snapshot of this replica's state machine. The log keeps its entries from keepFrom on.
type ownSnapshot struct {
	meta     *laburnumv1.SnapshotMeta
	data     []byte
	keepFrom uint64
	// skipped is the error of a disk that had no room for it.
	skipped error
}

// storageResult holds tasks that are done, or the error that ended the storage.
type storageResult struct {
	tasks []storageTask
	err   error
}

func newStorage(j *journal.Journal, o *Options) *storage {
	return &storage{
		journal: j, log: o.Log, serial: o.SerialCommits, pause: snapshotRetryTicks * o.Tick, finished: make(chan storageResult), wake: make(chan struct{}, 1),
		stopping: make(chan struct{}), stopped: make(chan struct{}),
	}
}

// enqueue queues a task; it never blocks. A chunk for a receiver is dropped while another one for it is queued: the core
// repeats it.
func (s *storage) enqueue(t storageTask) {
	s.mu.Lock()
	if t.chunk == nil || !s.chunkQueuedLocked(t.chunk.To) {
		s.queue = append(s.queue, t)
		s.queued += t.bytes()
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *storage) chunkQueuedLocked(to string) bool {
	for _, t := range s.queue {
		if t.chunk != nil && t.chunk.To == to {
			return true
		}
	}
	return false
}

// run works through the queue until stop is called or a task fails.
func (s *storage) run() {
	defer close(s.stopped)
	for {
		select {
		case <-s.stopping:
			return
		case <-s.wake:
		}
		for batch := s.nextBatch(); len(batch) > 0; batch = s.nextBatch() {
			err := s.do(batch)
			select {
			case s.finished <- storageResult{batch, err}:
			case <-s.stopping:
				return
			}
			if err != nil {
				return
			}
		}
	}
}

// stop ends run after the task in progress, or while that waits for room.
func (s *storage) stop() {
	close(s.stopping)
	<-s.stopped
}

// maxInstallTries bounds how long a received snapshot, and what comes after it, is held in memory: a minute on control instances.
const maxInstallTries = 30

// maxWriteBytes bounds the entries of one write to the journal that has more than one task.
const maxWriteBytes = 4 * mib

// nextBatch takes the longest run of tasks that can be done by one write, or a single task.
func (s *storage) nextBatch() []storageTask {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for bytes := 0; n < len(s.queue) && s.queue[n].appendsOnly(); n++ {
		if bytes += s.queue[n].bytes(); n > 0 && bytes > maxWriteBytes {
			break
		}
	}
	if n == 0 || s.serial {
		n = min(1, len(s.queue))
	}
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	for _, t := range batch {
		s.queued -= t.bytes()
	}
	return batch
}

// queuedBytes returns the size of the entries and snapshots that wait to be written.
func (s *storage) queuedBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queued
}

// bytes returns the size of what the task writes.
func (t *storageTask) bytes() (n int) {
	switch {
	case t.save != nil:
		return len(t.save.data)
	case t.write != nil:
		return t.write.Bytes()
	}
	return 0
}

// appendsOnly reports whether the task only appends to the journal.
func (t *storageTask) appendsOnly() bool { return t.write != nil && t.write.Snapshot == nil }

func (s *storage) do(batch []storageTask) error {
	switch first := batch[0]; {
	case first.save != nil:
		err := s.journal.SaveSnapshot(first.save.meta, first.save.data, first.save.keepFrom)
		if journal.ErrNoSpace.Has(err) {
			first.save.skipped = err
			return nil
		}
		return err
	case first.chunk != nil:
		s.readChunk(first.chunk)
		return nil
	case first.write.Snapshot != nil:
		if err := s.install(first.write); err != nil {
			return err
		}
	}
	hardState, entries := mergeWrites(batch)
	if hardState == nil && len(entries) == 0 {
		return nil
	}
	return s.journal.Append(hardState, entries)
}

// install makes a received snapshot durable. While the disk has no room for it, it is tried again: a replica that fails begins the whole
// transfer anew. Nothing is acknowledged meanwhile.
func (s *storage) install(w *core.Write) error {
	for try := 1; ; try++ {
		err := s.journal.InstallSnapshot(w.HardState, w.Snapshot.Meta, w.Snapshot.Data)
		if !journal.ErrNoSpace.Has(err) || try == maxInstallTries {
			return err
		}
		s.log.Warn("received snapshot waits for room", "index", w.Snapshot.Meta.Index, "bytes", len(w.Snapshot.Data), "try", try, "error", err, "pause", s.pause)
		select {
		case <-s.stopping:
			return err
		case <-time.After(s.pause):
		}
	}
}

// mergeWrites returns the newest hard state of a batch and the entries that remain of it: those of a later write replace
// all from their first index on.
func mergeWrites(batch []storageTask) (hardState *laburnumv1.HardState, entries []*laburnumv1.LogEntry) {
	for _, t := range batch {
		if t.write.HardState != nil {
			hardState = t.write.HardState
		}
		for _, e := range t.write.Entries {
			for len(entries) > 0 && entries[len(entries)-1].Index >= e.Index {
				entries = entries[:len(entries)-1]
			}
			entries = append(entries, e)
		}
	}
	return hardState, entries
}

// readChunk adds the bytes of the snapshot from the message's offset on. The chunk stays nil if a newer snapshot has
// replaced it or if it can't be read.
func (s *storage) readChunk(m *core.Message) {
	data, ok, err := s.journal.ReadSnapshot(m.Snapshot.Index, m.Offset, snapshotChunkBytes)
	if err != nil {
		s.log.Error("snapshot cannot be read", "index", m.Snapshot.Index, "error", err)
	}
	if ok {
		m.Chunk = append([]byte{}, data...)
	}
}
