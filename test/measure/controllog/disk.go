package controllog

import (
	"sync/atomic"
	"time"

	"laburnumrouter/internal/process/journal"
)

// slowSync is how long a sync of a slow disk takes.
const slowSync = 250 * time.Millisecond

// delayedFS is the operating system's file system, with syncs that take slowSync while slow is set.
type delayedFS struct {
	journal.OS
	slow atomic.Bool
}

type delayedFile struct {
	journal.File
	fs *delayedFS
}

// Create implements journal.FS.
func (f *delayedFS) Create(path string) (journal.File, error) {
	file, err := f.OS.Create(path)
	return &delayedFile{File: file, fs: f}, err
}

// Open implements journal.FS.
func (f *delayedFS) Open(path string) (journal.File, error) {
	file, err := f.OS.Open(path)
	return &delayedFile{File: file, fs: f}, err
}

// Sync implements journal.File.
func (f *delayedFile) Sync() error {
	if f.fs.slow.Load() {
		time.Sleep(slowSync)
	}
	return f.File.Sync()
}
