package journal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/zeebo/errs"
)

// File is an open file of the data folder.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	// Sync makes all data written so far durable.
	Sync() error
	Truncate(size int64) error
	// Seek sets the position of the next write.
	Seek(offset int64, whence int) (int64, error)
	Size() (int64, error)
}

// FS holds the file system operations that the journal needs.
type FS interface {
	MkdirAll(dir string) error
	// List returns the names of the files in a folder, sorted.
	List(dir string) ([]string, error)
	// Create opens an empty file for writing and reading; it truncates an existing one.
	Create(path string) (File, error)
	// Open opens an existing file for writing and reading.
	Open(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes created, renamed and removed names in a folder durable.
	SyncDir(dir string) error
	// Lock locks a file until the returned value is closed; it fails if another process holds the lock.
	Lock(path string) (io.Closer, error)
}

// OS is the operating system's file system.
type OS struct{}

const (
	dirMode  = 0o755
	fileMode = 0o644
)

type osFile struct{ *os.File }

// Size returns the length of the file in bytes.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// MkdirAll implements FS.
func (OS) MkdirAll(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	return OS{}.SyncDir(filepath.Dir(dir))
}

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// Create implements FS.
func (OS) Create(path string) (File, error) { return open(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC) }

// Open implements FS.
func (OS) Open(path string) (File, error) { return open(path, os.O_RDWR) }

func open(path string, flags int) (File, error) {
	f, err := os.OpenFile(path, flags, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errs.Combine(d.Sync(), d.Close())
}

// Lock implements FS.
func (OS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errs.Combine(errs.New("%s: another process uses the data folder: %v", path, err), f.Close())
	}
	return f, nil
}
