package core

import laburnumv1 "laburnumrouter/proto/laburnum/v1"

// log holds the entries after baseIndex and the indexes applied, commit, written and stable, where
// baseIndex <= applied <= commit <= last and stable <= written <= last. commit exceeds stable while entries that a quorum
// without this replica has committed are not durable here.
type log struct {
	baseIndex uint64 // entries[0] has index baseIndex+1
	baseTerm  uint64
	entries   []*laburnumv1.LogEntry
	bytes     int // total size of entries, as counted by EntryBytes

	snapshot *laburnumv1.SnapshotMeta // newest durable snapshot
	stable   uint64                   // last index that is durable here
	written  uint64                   // last index that was part of a write
	commit   uint64
	applied  uint64
	applying uint64 // last index that Ready returned to be applied
	// truncations counts how often entries were replaced. A write of an earlier count may hold replaced entries.
	truncations uint64
}

func (l *log) load(p Persisted) {
	l.snapshot = p.Snapshot
	if l.snapshot == nil {
		l.snapshot = &laburnumv1.SnapshotMeta{}
	}
	l.baseIndex, l.baseTerm = l.snapshot.Index, l.snapshot.Term
	if len(p.Entries) > 0 && p.Entries[0].Index <= l.baseIndex {
		// The first kept entry becomes the base, because the term of the entry before it is unknown.
		l.baseIndex, l.baseTerm = p.Entries[0].Index, p.Entries[0].Term
		p.Entries = p.Entries[1:]
	}
	l.append(p.Entries...)
	l.stable, l.written = l.last(), l.last()
}

// EntryBytes is the size of an entry as the limits of a log count it, in bytes.
func EntryBytes(e *laburnumv1.LogEntry) int { return len(e.Data) + entryOverhead }

func sizeOf(entries []*laburnumv1.LogEntry) (bytes int) {
	for _, e := range entries {
		bytes += EntryBytes(e)
	}
	return bytes
}

// append appends consecutive entries.
func (l *log) append(entries ...*laburnumv1.LogEntry) {
	l.entries = append(l.entries, entries...)
	l.bytes += sizeOf(entries)
}

// setEntries replaces the entries by a copy of a part of them, so that the others are released.
func (l *log) setEntries(part []*laburnumv1.LogEntry) {
	l.entries = append([]*laburnumv1.LogEntry(nil), part...)
	l.bytes = sizeOf(l.entries)
}

func (l *log) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index; ok is false if the log does not hold it.
func (l *log) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *log) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// entriesAfter returns the entries after index. The index must be at least baseIndex.
func (l *log) entriesAfter(index uint64) []*laburnumv1.LogEntry {
	if index >= l.last() {
		return nil
	}
	return l.entries[index-l.baseIndex:]
}

// batchAfter returns the entries after index up to a total of maxBytes, but always the first one if there is any.
func (l *log) batchAfter(index uint64, maxBytes int) []*laburnumv1.LogEntry {
	entries := l.entriesAfter(index)
	size := 0
	for i, e := range entries {
		size += EntryBytes(e)
		if i > 0 && size > maxBytes {
			return entries[:i]
		}
	}
	return entries
}

// exceeds reports whether the entries after index have a total of more than maxBytes or are no longer all in the log.
func (l *log) exceeds(index uint64, maxBytes int) bool {
	if index < l.baseIndex {
		return true
	}
	size := 0
	for _, e := range l.entriesAfter(index) {
		if size += EntryBytes(e); size > maxBytes {
			return true
		}
	}
	return false
}

// keepFrom implements Core.KeepFrom.
func (l *log) keepFrom(index, maxEntries uint64, maxBytes int) uint64 {
	from := index + 1
	for from > l.baseIndex+1 && index+1-from < maxEntries {
		if maxBytes -= EntryBytes(l.entries[from-l.baseIndex-2]); maxBytes < 0 {
			break
		}
		from--
	}
	return from
}

func (l *log) unwrittenCount() int { return int(l.last() - min(l.written, l.last())) }

func (l *log) unwrittenEntries() []*laburnumv1.LogEntry { return l.entriesAfter(l.written) }

// nextToApply returns the committed entries that are not applied yet and records their last index in applying.
func (l *log) nextToApply() []*laburnumv1.LogEntry {
	l.applying = max(l.applied, l.commit)
	return l.entriesAfter(l.applied)[:l.applying-l.applied]
}

// truncate drops the entries from index on, all of which must be uncommitted.
func (l *log) truncate(index uint64) {
	l.setEntries(l.entries[:index-l.baseIndex-1])
	l.stable, l.written = min(l.stable, l.last()), min(l.written, l.last())
	l.truncations++
}

// reset empties the log and lets it continue after a snapshot, which is not durable yet.
func (l *log) reset(meta *laburnumv1.SnapshotMeta) {
	l.snapshot = meta
	l.baseIndex, l.baseTerm = meta.Index, meta.Term
	l.setEntries(nil)
	l.commit, l.applied, l.applying, l.written = meta.Index, meta.Index, meta.Index, meta.Index
	l.stable = 0
	l.truncations++
}

// compact drops the entries before keepFrom, but none that the snapshot lacks. The last dropped one becomes the base. A
// snapshot that a received one has overtaken is ignored.
func (l *log) compact(meta *laburnumv1.SnapshotMeta, keepFrom uint64) {
	if meta.Index < l.snapshot.Index {
		return
	}
	l.snapshot = meta
	base := min(keepFrom-1, meta.Index)
	if base <= l.baseIndex {
		return
	}
	term, _ := l.term(base)
	l.setEntries(l.entriesAfter(base))
	l.baseIndex, l.baseTerm = base, term
}

// findConflictByTerm returns index and term of the last entry at or before index whose term is not greater than term.
func (l *log) findConflictByTerm(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	for index > l.baseIndex {
		t, _ := l.term(index)
		if t <= term {
			return index, t
		}
		index--
	}
	return l.baseIndex, l.baseTerm
}
