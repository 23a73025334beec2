package journal

import "crypto/rand"

// EnsureRoom makes sure that the disk takes size more bytes. If it doesn't, the segments that the snapshot covers go; if that isn't
// enough, it returns ErrNoSpace.
func (j *Journal) EnsureRoom(size int) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed != nil {
		return j.failed
	}
	err := j.tryRoom(size)
	if isNoRoom(err) && j.makeRoom(err) == nil {
		err = j.tryRoom(size)
	}
	if isNoRoom(err) {
		return ErrNoSpace.Wrap(err)
	}
	return j.recordFailure(err)
}

// tryRoom writes a temporary file of size bytes, which a file system can't compress, and removes it.
func (j *Journal) tryRoom(size int) error {
	data := make([]byte, size)
	_, _ = rand.Read(data) // never fails
	if err := j.writeTemporary(data); err != nil {
		return err
	}
	return j.fs.Remove(j.path(temporaryName))
}
