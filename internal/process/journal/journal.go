// Package journal stores a replica's log, hard state and snapshots durably in one data folder.
//
// The folder holds segments of the log (log-SEQUENCE), snapshots (snapshot-INDEX), the identity of its owner
// and a lock file. Everything is written in frames with length and checksum, and is synced before a call returns.
// After the first failed write or sync every later write is refused.
package journal

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Error is the class of all errors of this package.
var Error = errs.Class("journal")

// ErrFailed is the class of errors after which the journal acknowledges nothing more.
var ErrFailed = errs.Class("journal has failed and acknowledges nothing more")

// ErrNoSpace is the class of errors of a disk that has no room for a snapshot, or for what EnsureRoom was asked for. What the folder
// holds is as before, and the journal goes on.
var ErrNoSpace = errs.Class("no room on the disk")

// DefaultSegmentBytes is the size beyond which a segment is closed and a new one started.
const DefaultSegmentBytes = 4 << 20

// Options sets up a journal.
type Options struct {
	// Node is the owner of the folder; a folder of another node is refused.
	Node string
	// Replica is the identity that a new folder gets.
	Replica uint64
	// SegmentBytes is the size beyond which a new segment is started; 0 means DefaultSegmentBytes.
	SegmentBytes int64
	// LogBytes bounds the entries that are held while the folder is opened; 0 means no limit. Beyond it the oldest entries that
	// the snapshot covers are dropped, from the folder too, and then those after it that are known to be committed are passed to
	// Apply and dropped. Entries that may still be replaced are held in any case.
	LogBytes int
	// Restore, if it is set, receives the newest snapshot before anything is passed to Apply.
	Restore func(meta *laburnumv1.SnapshotMeta, data []byte) error
	// Apply receives committed entries after the snapshot, in order. After it was called, Contents.Entries lack them. The folder holds
	// them until a snapshot is saved at Contents.Applied or later.
	Apply func(*laburnumv1.LogEntry) error
}

// Contents is what a folder held when it was opened.
type Contents struct {
	// Fresh is set if the folder was new.
	Fresh     bool
	Replica   uint64
	HardState *laburnumv1.HardState
	Snapshot  *laburnumv1.SnapshotMeta
	// SnapshotData is the encoded state machine at Snapshot, unless Options.Restore has received it.
	SnapshotData []byte
	// Applied is the index of the last entry that was passed to Options.Apply; 0 if none was.
	Applied uint64
	// Entries are consecutive and may begin before the snapshot's index. If Applied is set, they begin right after it.
	Entries []*laburnumv1.LogEntry
	// CutBytes is the length of the torn tail that was truncated.
	CutBytes int64
}

// segment is one file of the log.
type segment struct {
	sequence uint64
	last     uint64 // highest index of its entries
	bytes    int64  // length of the file; that of the newest segment is Journal.size
}

// Journal is an open data folder. It is safe for concurrent use.
type Journal struct {
	fs   FS
	dir  string
	opts Options
	lock io.Closer

	mu          sync.Mutex
	file        File // the newest segment
	size        int64
	segments    []segment
	hardState   *laburnumv1.HardState
	snapshot    uint64 // index of the newest snapshot, if there is one
	hasSnapshot bool
	// verified describes the last snapshot that was read in parts; nil if none was.
	verified *verifiedSnapshot
	failed   error
	// namesError is set while the folder is loaded if there was no room to make its names durable.
	namesError error

	// segmentBytes and snapshotBytes are the total length of the segments and that of the newest snapshot. They are read while
	// mu is held over a slow write.
	segmentBytes, snapshotBytes atomic.Int64
}

// Open opens the data folder and returns what it holds.
func Open(fs FS, dir string, opts Options) (*Journal, *Contents, error) {
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = DefaultSegmentBytes
	}
	if err := fs.MkdirAll(dir); err != nil {
		return nil, nil, Error.Wrap(err)
	}
	lock, err := fs.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	j := &Journal{fs: fs, dir: dir, opts: opts, lock: lock}
	contents, err := j.load()
	if err != nil {
		if j.file != nil {
			err = errs.Combine(err, j.file.Close())
		}
		return nil, nil, Error.Wrap(errs.Combine(err, lock.Close()))
	}
	return j, contents, nil
}

// Append makes a hard state and entries durable in one write. The entries replace all entries at and after the
// index of the first one.
func (j *Journal) Append(hs *laburnumv1.HardState, entries []*laburnumv1.LogEntry) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed != nil {
		return j.failed
	}
	return j.recordFailure(j.append(hs, entries))
}

func (j *Journal) append(hs *laburnumv1.HardState, entries []*laburnumv1.LogEntry) error {
	if j.size > j.opts.SegmentBytes {
		if err := j.rotateWithinRoom(); err != nil {
			return err
		}
	}
	if err := j.write(&laburnumv1.JournalBatch{HardState: hs, Entries: entries}); err != nil {
		return err
	}
	if hs != nil {
		j.hardState = hs
	}
	if len(entries) > 0 {
		s := &j.segments[len(j.segments)-1]
		s.last = max(s.last, entries[len(entries)-1].Index)
	}
	return nil
}

// write writes one frame to the newest segment and syncs it. If the disk is full, segments that the snapshot covers make room
// for it.
func (j *Journal) write(batch *laburnumv1.JournalBatch) error {
	frame, err := encodeBatch(batch)
	if err != nil {
		return err
	}
	err = j.writeFrame(frame)
	if isNoRoom(err) {
		if err = j.makeRoom(err); err == nil {
			err = j.writeFrame(frame)
		}
	}
	if err == nil {
		err = j.file.Sync()
	}
	if err != nil {
		// A frame that was not acknowledged must not be read back when the folder is opened again.
		return errs.Combine(err, j.file.Truncate(j.size))
	}
	j.size += int64(len(frame))
	j.segmentBytes.Add(int64(len(frame)))
	return nil
}

func encodeBatch(batch *laburnumv1.JournalBatch) ([]byte, error) {
	payload, err := proto.Marshal(batch)
	if err != nil {
		return nil, err
	}
	return appendFrame(nil, payload), nil
}

// writeFrame writes a frame at the end of the newest segment. If that fails, the segment is as before.
func (j *Journal) writeFrame(frame []byte) error {
	_, err := j.file.Write(frame)
	if err == nil {
		return nil
	}
	undo := j.file.Truncate(j.size)
	if undo == nil {
		_, undo = j.file.Seek(j.size, io.SeekStart)
	}
	if undo != nil {
		// The rest of the frame may still be there, so that no other frame may follow.
		return Error.New("%v; the frame can't be removed: %w", err, undo)
	}
	return asNoRoom(err)
}

// rotateWithinRoom starts a new segment. If the disk is full, segments that the snapshot covers make room for it; if there are none,
// the present segment goes on.
func (j *Journal) rotateWithinRoom() error {
	err := j.rotate()
	if isNoRoom(err) && j.makeRoom(err) == nil {
		err = j.rotate()
	}
	if isNoRoom(err) {
		return nil
	}
	return err
}

// rotate starts a new segment, which begins with a copy of the hard state.
func (j *Journal) rotate() error {
	next := segment{}
	if len(j.segments) > 0 {
		next.sequence = j.segments[len(j.segments)-1].sequence + 1
	}
	frame, err := encodeBatch(&laburnumv1.JournalBatch{HardState: j.hardState})
	if err != nil {
		return err
	}
	file, err := j.createSegment(segmentName(next.sequence), frame)
	if err != nil {
		return err
	}
	if j.file != nil {
		err = j.file.Close()
		j.segments[len(j.segments)-1].bytes = j.size
	}
	j.file, j.size = file, int64(len(frame))
	j.segmentBytes.Add(j.size)
	j.segments = append(j.segments, next)
	return err
}

// createSegment makes a segment with one frame durable. Of one that the disk has no room for nothing is left: its hard state must
// not be read after what is then appended to the segment before it.
func (j *Journal) createSegment(name string, frame []byte) (File, error) {
	file, err := j.fs.Create(j.path(name))
	if err != nil {
		return nil, asNoRoom(err)
	}
	_, err = file.Write(frame)
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = j.fs.SyncDir(j.dir)
	}
	if err != nil {
		return nil, errs.Combine(j.undo(name, err), file.Close())
	}
	return file, nil
}

// undo removes a file that couldn't be made durable. If the cause is want of room, it returns a noRoom once the removal is durable.
func (j *Journal) undo(name string, cause error) error {
	err := j.fs.Remove(j.path(name))
	if err == nil {
		err = j.fs.SyncDir(j.dir)
	}
	if err != nil {
		return Error.New("%v; %s can't be removed: %w", cause, j.path(name), err)
	}
	return asNoRoom(cause)
}

// dropSegments removes the oldest segments while all their entries are before keepFrom.
func (j *Journal) dropSegments(keepFrom uint64) error {
	for len(j.segments) > 1 && j.segments[0].last < keepFrom {
		if err := j.removeSegment(0); err != nil {
			return err
		}
	}
	return nil
}

// removeSegment removes a segment durably: of several removals that aren't synced, a power loss may undo any.
func (j *Journal) removeSegment(i int) error {
	if err := j.fs.Remove(j.path(segmentName(j.segments[i].sequence))); err != nil {
		return err
	}
	j.segmentBytes.Add(-j.segments[i].bytes)
	j.segments = slices.Delete(j.segments, i, i+1)
	return j.fs.SyncDir(j.dir)
}

// noRoom is the error of a file or a frame that the disk has no room for. Nothing of it is left.
type noRoom struct{ error }

func (e noRoom) Unwrap() error { return e.error }

// asNoRoom returns err as a noRoom if the disk is full. Nothing of what was written may be left.
func asNoRoom(err error) error {
	if isNoSpace(err) {
		return noRoom{err}
	}
	return err
}

func isNoRoom(err error) bool { return errors.As(err, new(noRoom)) }

// isNoSpace reports whether a write failed because the disk is full.
func isNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// makeRoom removes the segments that hold only entries which the snapshot covers. It returns cause if there are none.
func (j *Journal) makeRoom(cause error) error {
	before := len(j.segments)
	if j.hasSnapshot {
		if err := j.dropSegments(j.snapshot + 1); err != nil {
			return errs.Combine(cause, err)
		}
	}
	if len(j.segments) == before {
		return cause
	}
	return nil
}

// recordFailure stores err, if any, so that every later write is refused, and returns the stored error.
func (j *Journal) recordFailure(err error) error {
	if err != nil {
		j.failed = ErrFailed.Wrap(Error.Wrap(err))
	}
	return j.failed
}

// Sizes returns the total length of the log's segments and the length of the newest snapshot, in bytes. It doesn't wait for
// a write in progress.
func (j *Journal) Sizes() (segments, snapshot int64) {
	return j.segmentBytes.Load(), j.snapshotBytes.Load()
}

// Close makes hs durable, unless it is nil, and closes the folder.
func (j *Journal) Close(hs *laburnumv1.HardState) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	var err error
	if j.failed == nil && hs != nil {
		err = j.append(hs, nil)
	}
	j.failed = ErrFailed.New("the journal is closed")
	return Error.Wrap(errs.Combine(err, j.file.Close(), j.lock.Close()))
}

func (j *Journal) path(name string) string { return filepath.Join(j.dir, name) }

const (
	lockName       = "lock"
	identityName   = "identity"
	temporaryName  = "temporary"
	segmentFormat  = "log-%016x"
	snapshotFormat = "snapshot-%016x"
)

func segmentName(sequence uint64) string { return fmt.Sprintf(segmentFormat, sequence) }

func snapshotName(index uint64) string { return fmt.Sprintf(snapshotFormat, index) }
