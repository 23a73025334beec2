package journal

import (
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// SaveSnapshot makes a snapshot of the replica's own state machine durable and removes segments that hold only
// entries before keepFrom. If the disk has no room for the snapshot, it returns ErrNoSpace.
func (j *Journal) SaveSnapshot(meta *laburnumv1.SnapshotMeta, data []byte, keepFrom uint64) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed != nil {
		return j.failed
	}
	err := j.writeSnapshot(meta, data)
	if isNoRoom(err) {
		return ErrNoSpace.Wrap(err)
	}
	if err == nil {
		err = j.rotateWithinRoom()
	}
	if err == nil {
		err = j.dropSegments(keepFrom)
	}
	return j.recordFailure(err)
}

// InstallSnapshot makes a snapshot received from another replica durable; it replaces the whole log. If the disk has no room
// for the snapshot, it returns ErrNoSpace.
func (j *Journal) InstallSnapshot(hs *laburnumv1.HardState, meta *laburnumv1.SnapshotMeta, data []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed != nil {
		return j.failed
	}
	err := j.writeSnapshot(meta, data)
	if isNoRoom(err) {
		return ErrNoSpace.Wrap(err)
	}
	if err == nil {
		j.hardState = hs
		err = j.dropLog()
	}
	return j.recordFailure(err)
}

// dropLog replaces all segments by one without entries. The newest go first: what is left after a crash then ends before the
// snapshot or contradicts it, and can't be taken for entries that continue it.
func (j *Journal) dropLog() error {
	if err := j.rotate(); err != nil {
		return err
	}
	for len(j.segments) > 1 {
		if err := j.removeSegment(len(j.segments) - 2); err != nil {
			return err
		}
	}
	return nil
}

// ReadSnapshot returns up to size bytes of the newest snapshot, starting at offset; ok is false if the newest
// snapshot is not at index.
func (j *Journal) ReadSnapshot(index, offset uint64, size int) (data []byte, ok bool, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.hasSnapshot || j.snapshot != index {
		return nil, false, nil
	}
	data, err = j.readSnapshotPart(int64(offset), int64(size))
	if err != nil {
		return nil, false, Error.Wrap(err)
	}
	return data, true, nil
}

// verifiedSnapshot is a snapshot whose checksums were found correct.
type verifiedSnapshot struct {
	index uint64
	start int64 // offset of the data within the file
	size  int64 // of the data
}

// readSnapshotPart reads a part of the newest snapshot's data. Its checksums are checked once, not for each part.
func (j *Journal) readSnapshotPart(offset, size int64) ([]byte, error) {
	name := snapshotName(j.snapshot)
	file, err := j.fs.Open(j.path(name))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	if j.verified == nil || j.verified.index != j.snapshot {
		v := &verifiedSnapshot{index: j.snapshot}
		if v.start, v.size, err = verifySnapshot(file); err != nil {
			return nil, fmt.Errorf("%s: %w", j.path(name), err)
		}
		j.verified = v
	}
	offset = min(offset, j.verified.size)
	data := make([]byte, min(size, j.verified.size-offset))
	if _, err := file.ReadAt(data, j.verified.start+offset); err != nil && err != io.EOF {
		return nil, err
	}
	return data, nil
}

// verifySnapshot checks the frames of a snapshot file and returns where its data starts, and its size.
func verifySnapshot(file File) (start, size int64, err error) {
	r, err := newFrameReader(file)
	if err != nil {
		return 0, 0, err
	}
	if _, err := r.next(); err != nil { // the metadata
		return 0, 0, errBadFrame
	}
	start = r.end + frameHeaderBytes
	header := make([]byte, frameHeaderBytes)
	if _, err := file.ReadAt(header, r.end); err != nil && err != io.EOF {
		return 0, 0, err
	}
	size, checksum, ok := parseHeader(header)
	if !ok || size != r.size-start {
		return 0, 0, errBadFrame
	}
	intact, err := hasChecksum(file, start, size, checksum)
	if err == nil && !intact {
		err = errBadFrame
	}
	return start, size, err
}

// writeSnapshot replaces the snapshot file. The new file is complete and synced before it gets its name, and
// the old one is removed only after that. If the disk is full, segments that the old one covers make room.
func (j *Journal) writeSnapshot(meta *laburnumv1.SnapshotMeta, data []byte) error {
	encodedMeta, err := proto.Marshal(meta)
	if err != nil {
		return err
	}
	header := appendFrameHeader(appendFrame(nil, encodedMeta), data)
	err = j.replaceFile(snapshotName(meta.Index), header, data)
	if isNoRoom(err) && j.makeRoom(err) == nil {
		err = j.replaceFile(snapshotName(meta.Index), header, data)
	}
	if err != nil {
		return err
	}
	previous, hadSnapshot := j.snapshot, j.hasSnapshot
	j.snapshot, j.hasSnapshot = meta.Index, true
	j.snapshotBytes.Store(int64(len(data)))
	if !hadSnapshot || previous == meta.Index {
		return nil
	}
	return j.fs.Remove(j.path(snapshotName(previous)))
}

// replaceFile writes a file under a temporary name, syncs it, renames it and syncs the folder.
func (j *Journal) replaceFile(name string, parts ...[]byte) error {
	if err := j.writeTemporary(parts...); err != nil {
		return err
	}
	if err := j.fs.Rename(j.path(temporaryName), j.path(name)); err != nil {
		return j.discardTemporary(err)
	}
	err := j.fs.SyncDir(j.dir)
	if err != nil && !(j.hasSnapshot && name == snapshotName(j.snapshot)) { // otherwise the only snapshot would go
		return j.undo(name, err)
	}
	return err
}

// writeTemporary makes a temporary file durable.
func (j *Journal) writeTemporary(parts ...[]byte) error {
	file, err := j.fs.Create(j.path(temporaryName))
	if err != nil {
		return asNoRoom(err)
	}
	for _, part := range parts {
		if err == nil {
			_, err = file.Write(part)
		}
	}
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return j.discardTemporary(err)
	}
	return nil
}

// discardTemporary removes the temporary file. One that a crash brings back is removed when the folder is opened.
func (j *Journal) discardTemporary(cause error) error {
	if err := j.fs.Remove(j.path(temporaryName)); err != nil {
		return Error.New("%v; %s can't be removed: %w", cause, j.path(temporaryName), err)
	}
	return asNoRoom(cause)
}

// readSnapshot reads a snapshot file, whose two frames must be intact.
func (j *Journal) readSnapshot(name string) (*laburnumv1.SnapshotMeta, []byte, error) {
	payloads, err := j.readFrames(name, 2)
	if err != nil {
		return nil, nil, err
	}
	meta := &laburnumv1.SnapshotMeta{}
	if err := proto.Unmarshal(payloads[0], meta); err != nil {
		return nil, nil, Error.New("%s: offset 0: %v", j.path(name), err)
	}
	return meta, payloads[1], nil
}

// readFrames reads a file that was written at once and must hold exactly count intact frames.
func (j *Journal) readFrames(name string, count int) (payloads [][]byte, err error) {
	file, err := j.fs.Open(j.path(name))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	r, err := newFrameReader(file)
	if err != nil {
		return nil, err
	}
	for range count {
		payload, err := r.next()
		if err != nil {
			return nil, Error.New("%s: offset %d: %v", j.path(name), r.end, errBadFrame)
		}
		payloads = append(payloads, payload)
		r.payload = nil // each is kept
	}
	if r.end != r.size {
		return nil, Error.New("%s: offset %d: %v", j.path(name), r.end, errBadFrame)
	}
	return payloads, nil
}
