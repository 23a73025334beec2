package cluster

import (
	"os"
	"path/filepath"
	"slices"
)

// Disk faults of a control instance that doesn't run.

// Wipe empties the data folder.
func (p *Process) Wipe() error { return Error.Wrap(os.RemoveAll(p.dataDir)) }

// Tear appends the beginning of a record to the newest segment of the log, as a power failure during a write leaves it.
func (p *Process) Tear() error {
	path, err := p.newestSegment()
	if err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return Error.Wrap(err)
	}
	defer file.Close()
	_, err = file.Write([]byte{200, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7})
	return Error.Wrap(err)
}

// minFlipBytes is the least size of a segment that Flip damages. In a smaller one the byte may be in the last record, where
// damage can't be told from a torn write.
const minFlipBytes = 32 << 10

// Flip inverts a byte in the first half of the newest segment of the log. It does nothing to a small segment.
func (p *Process) Flip() error {
	path, err := p.newestSegment()
	if err != nil {
		return err
	}
	data, err := os.ReadFile(path)
	if err != nil || len(data) < minFlipBytes {
		return Error.Wrap(err)
	}
	data[len(data)/3] ^= 0xff
	return Error.Wrap(os.WriteFile(path, data, 0o600))
}

func (p *Process) newestSegment() (string, error) {
	list, err := filepath.Glob(filepath.Join(p.dataDir, "log-*"))
	if err != nil || len(list) == 0 {
		return "", Error.New("%s has no log: %v", p.Name, err)
	}
	return slices.Max(list), nil
}
