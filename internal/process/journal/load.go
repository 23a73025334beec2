package journal

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// load reads the folder and prepares it for appends.
func (j *Journal) load() (*Contents, error) {
	names, err := j.fs.List(j.dir)
	if err != nil {
		return nil, err
	}
	c := &Contents{HardState: &laburnumv1.HardState{}, Snapshot: &laburnumv1.SnapshotMeta{}}
	if slices.Contains(names, temporaryName) {
		// A crash left it behind; it may take the room that the log needs.
		if err := j.fs.Remove(j.path(temporaryName)); err != nil {
			return nil, err
		}
	}
	// Names that a killed process left may not be durable yet.
	if j.namesError = j.fs.SyncDir(j.dir); j.namesError != nil && !isNoSpace(j.namesError) {
		return nil, j.namesError
	}
	if err := j.loadIdentity(c, names); err != nil {
		return nil, err
	}
	if err := j.loadSnapshot(c, names); err != nil {
		return nil, err
	}
	if err := j.loadSegments(c, names); err != nil {
		return nil, err
	}
	j.hardState = c.HardState
	if j.file == nil {
		return c, j.rotate()
	}
	if len(c.Entries) == 0 && c.Applied == 0 && j.segmentsHoldEntries() {
		// An installed snapshot replaced the log, but a crash came before the old segments were removed.
		return c, j.dropLog()
	}
	return c, nil
}

func (j *Journal) segmentsHoldEntries() bool {
	return slices.ContainsFunc(j.segments, func(s segment) bool { return s.last > 0 })
}

// loadIdentity checks that the folder belongs to the node, or writes the node's identity to a new folder.
func (j *Journal) loadIdentity(c *Contents, names []string) error {
	if !slices.Contains(names, identityName) {
		if slices.ContainsFunc(names, func(n string) bool { return strings.HasPrefix(n, "log-") }) {
			return Error.New("%s is missing although the folder holds a log", j.path(identityName))
		}
		c.Fresh, c.Replica = true, j.opts.Replica
		payload, err := proto.Marshal(&laburnumv1.FolderIdentity{Node: j.opts.Node, Replica: j.opts.Replica})
		if err != nil {
			return err
		}
		return j.replaceFile(identityName, appendFrame(nil, payload))
	}
	payloads, err := j.readFrames(identityName, 1)
	if err != nil {
		return err
	}
	id := &laburnumv1.FolderIdentity{}
	if err := proto.Unmarshal(payloads[0], id); err != nil {
		return Error.New("%s: %v", j.path(identityName), err)
	}
	if id.Node != j.opts.Node {
		return Error.New("%s belongs to node %q, the settings name %q", j.dir, id.Node, j.opts.Node)
	}
	c.Replica = id.Replica
	return nil
}

// loadSnapshot reads the newest snapshot and removes older ones, which a crash may have left behind.
func (j *Journal) loadSnapshot(c *Contents, names []string) error {
	newest := ""
	for _, name := range names {
		if !strings.HasPrefix(name, "snapshot-") {
			continue
		}
		if newest != "" {
			if j.namesError != nil {
				return j.namesError // the newer one's name may be lost
			}
			if err := j.fs.Remove(j.path(newest)); err != nil {
				return err
			}
		}
		newest = name
	}
	if newest == "" {
		return nil
	}
	meta, data, err := j.readSnapshot(newest)
	if err != nil {
		return err
	}
	c.Snapshot, j.snapshot, j.hasSnapshot = meta, meta.Index, true
	j.snapshotBytes.Store(int64(len(data)))
	if j.opts.Restore != nil {
		return j.opts.Restore(meta, data)
	}
	c.SnapshotData = data
	return nil
}

// loadSegments replays the log and opens its newest segment for appends.
func (j *Journal) loadSegments(c *Contents, names []string) error {
	var sequences []uint64
	for _, name := range names {
		var sequence uint64
		if n, err := fmt.Sscanf(name, segmentFormat, &sequence); n == 1 && err == nil {
			sequences = append(sequences, sequence)
		}
	}
	sequences, err := j.dropUnbegun(sequences)
	if err != nil {
		return err
	}
	r := &replay{snapshot: c.Snapshot, hardState: c.HardState, limit: j.opts.LogBytes, apply: j.opts.Apply}
	for i, sequence := range sequences {
		if i > 0 && sequence != sequences[i-1]+1 && !r.discardReplaced() {
			return Error.New("%s is missing", j.path(segmentName(sequences[i-1]+1)))
		}
		cut, err := j.loadSegment(r, sequence, i == len(sequences)-1)
		if err != nil {
			return err
		}
		c.CutBytes += cut
	}
	if err := j.makeNamesDurable(); err != nil {
		return err
	}
	c.HardState, c.Applied = r.hardState, r.applied
	c.Entries, err = r.entriesForSnapshot()
	if err != nil {
		return Error.New("%s: %v", j.dir, err)
	}
	if r.dropped == 0 {
		return nil
	}
	return j.dropSegments(min(r.dropped, c.Snapshot.GetIndex()) + 1)
}

// makeNamesDurable makes room for the sync of the folder that failed for want of it, by a segment that the snapshot covers. The name of a
// snapshot is durable if there is no other, as its predecessor goes after that; the name of the newest segment may not be, so that
// the one before stays, which holds the hard state, too.
func (j *Journal) makeNamesDurable() error {
	if j.namesError == nil {
		return nil
	}
	if !j.hasSnapshot || len(j.segments) < 3 || j.segments[0].last > j.snapshot {
		return j.namesError
	}
	j.namesError = j.removeSegment(0)
	return j.namesError
}

// dropUnbegun removes the newest segment if a crash left it without a whole frame. The one before it then holds the newest hard state, and
// must not go before another segment holds it.
func (j *Journal) dropUnbegun(sequences []uint64) ([]uint64, error) {
	newest := len(sequences) - 1
	if newest < 1 {
		return sequences, nil
	}
	path := j.path(segmentName(sequences[newest]))
	begun, err := j.holdsFrame(path)
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("%s: %w", path, err))
	}
	if begun {
		return sequences, nil
	}
	if err := j.fs.Remove(path); err != nil {
		return nil, err
	}
	return sequences[:newest], j.fs.SyncDir(j.dir)
}

// holdsFrame reports whether a segment holds more than a torn first frame.
func (j *Journal) holdsFrame(path string) (bool, error) {
	file, err := j.fs.Open(path)
	if err != nil {
		return false, err
	}
	defer file.Close()
	reader, err := newFrameReader(file)
	if err != nil {
		return false, err
	}
	_, err = reader.next()
	switch err {
	case nil:
		return true, nil
	case io.EOF:
		return false, nil
	case errBadFrame:
		torn, err := reader.torn()
		return !torn, err
	}
	return false, err
}

// loadSegment replays one segment. Only the newest may end in a torn frame, which is truncated.
func (j *Journal) loadSegment(r *replay, sequence uint64, newest bool) (cut int64, err error) {
	path := j.path(segmentName(sequence))
	file, err := j.fs.Open(path)
	if err != nil {
		return 0, err
	}
	fail := func(err error) (int64, error) {
		_ = file.Close()
		return 0, Error.Wrap(fmt.Errorf("%s: %w", path, err))
	}
	reader, err := newFrameReader(file)
	if err != nil {
		return fail(err)
	}
	s := segment{sequence: sequence}
	for {
		payload, err := reader.next()
		if err == io.EOF {
			break
		}
		if err == errBadFrame {
			if torn, searchErr := reader.torn(); searchErr != nil {
				return fail(searchErr)
			} else if !torn || !newest {
				return fail(fmt.Errorf("offset %d: %w", reader.end, err))
			}
			break
		}
		if err != nil {
			return fail(err)
		}
		if err := r.applyBatch(payload, &s); err != nil {
			return fail(err)
		}
	}
	s.bytes = reader.end
	j.segments = append(j.segments, s)
	j.segmentBytes.Add(s.bytes)
	if !newest {
		return 0, file.Close()
	}
	j.file, j.size = file, reader.end
	if err := file.Truncate(reader.end); err != nil {
		return 0, err
	}
	if _, err := file.Seek(reader.end, io.SeekStart); err != nil {
		return 0, err
	}
	return reader.size - reader.end, file.Sync()
}

// replay rebuilds the log from the batches of the segments. Beyond limit it drops the oldest entries: those that the snapshot
// covers, and those after it once they are applied.
type replay struct {
	snapshot  *laburnumv1.SnapshotMeta
	hardState *laburnumv1.HardState
	limit     int // in bytes; 0 means none
	apply     func(*laburnumv1.LogEntry) error

	entries  []*laburnumv1.LogEntry
	bytes    int    // total size of the data of entries
	dropped  uint64 // last index that was dropped; 0 if none was
	applied  uint64 // last index that was applied; 0 if none was
	afterGap uint64 // first index after a gap that the snapshot does not cover; 0 if there is none
}

func (r *replay) applyBatch(payload []byte, s *segment) error {
	b := &laburnumv1.JournalBatch{}
	if err := proto.Unmarshal(payload, b); err != nil {
		return err
	}
	if b.HardState != nil {
		r.hardState = b.HardState
	}
	for _, e := range b.Entries {
		if e.Index <= r.applied {
			return Error.New("entry %d is replaced although it was committed", e.Index)
		}
		r.addEntry(e)
		s.last = max(s.last, e.Index)
	}
	return r.trim()
}

// addEntry adds an entry to the log. An entry at an index that the log holds replaces it and all later ones. An entry
// beyond the end of the log that is the first one after the snapshot starts a new log: the snapshot was installed and
// replaced the old log. Any other gap is recorded and makes entriesForSnapshot fail.
func (r *replay) addEntry(e *laburnumv1.LogEntry) {
	first := r.dropped + 1
	if len(r.entries) > 0 {
		first = r.entries[0].Index
	} else if r.dropped == 0 {
		first = e.Index
	}
	next := first + uint64(len(r.entries))
	switch {
	case e.Index < first:
		r.truncate(0)
	case e.Index <= next:
		r.truncate(int(e.Index - first))
	case e.Index == r.snapshot.GetIndex()+1:
		r.truncate(0)
	default:
		r.afterGap = e.Index
		return
	}
	r.entries = append(r.entries, e)
	r.bytes += len(e.Data)
}

// discardReplaced drops the entries so far if the snapshot has replaced them, as it has those before a gap that a crash during the
// removal of replaced segments left. Otherwise it returns false.
func (r *replay) discardReplaced() bool {
	entries, err := r.entriesForSnapshot()
	if err != nil || len(entries) > 0 || r.applied > 0 {
		return false
	}
	r.truncate(0)
	return true
}

// truncate keeps the first n entries.
func (r *replay) truncate(n int) {
	for _, e := range r.entries[n:] {
		r.bytes -= len(e.Data)
	}
	r.entries = r.entries[:n]
}

// trim drops the oldest entries until the rest is within the limit or isn't known to be committed. The commit index in a batch
// covers no entry that a later batch replaces.
func (r *replay) trim() error {
	at := r.snapshot.GetIndex()
	for r.limit > 0 && r.bytes > r.limit && len(r.entries) > 0 {
		e := r.entries[0]
		switch {
		case e.Index < at:
		case e.Index == at:
			if e.Term != r.snapshot.GetTerm() {
				return nil // the snapshot replaced this log as a whole
			}
		case e.Index != max(at, r.applied)+1 || e.Index > r.hardState.GetCommit() || r.apply == nil:
			return nil
		default:
			if err := r.apply(e); err != nil {
				return err
			}
			r.applied = e.Index
		}
		r.entries[0] = nil
		r.entries, r.bytes, r.dropped = r.entries[1:], r.bytes-len(e.Data), e.Index
	}
	return nil
}

// entriesForSnapshot returns the entries that continue the snapshot, or the last entry that was applied; they may begin before
// its index. A log that ends before the snapshot's index, or has an entry of another term there, was replaced by the snapshot
// as a whole: then there are no entries.
func (r *replay) entriesForSnapshot() ([]*laburnumv1.LogEntry, error) {
	if r.afterGap != 0 {
		return nil, Error.New("entries before index %d are missing", r.afterGap)
	}
	if len(r.entries) == 0 {
		return nil, nil
	}
	first, at := r.entries[0].Index, max(r.snapshot.GetIndex(), r.applied)
	switch {
	case first > at+1:
		return nil, Error.New("entries %d to %d are missing", at+1, first-1)
	case first == at+1:
		return r.entries, nil
	case at-first >= uint64(len(r.entries)):
		return nil, nil
	case r.entries[at-first].Term != r.snapshot.GetTerm():
		return nil, nil
	}
	return r.entries, nil
}
