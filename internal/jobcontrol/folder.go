package jobcontrol

import (
	"errors"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"laburnumrouter/internal/process/journal"
	"laburnumrouter/internal/process/replica"
)

const (
	// nearlyFull and roomAgain are the parts of the limit of the disk, in percent, at which a warning is logged, and below which
	// the next warning may follow.
	nearlyFull = 75
	roomAgain  = 60
)

// folderUse reports how much of the disk the data folder takes up.
type folderUse struct {
	limit  int64 // bytes; 0 means that none is known
	warned bool
}

// report updates the gauges, and logs a warning when the folder begins to fill the disk.
func (f *folderUse) report(size replica.Sizes, scope tally.Scope, log hclog.Logger) {
	used := size.FolderBytes()
	scope.Gauge("folder_bytes").Update(float64(used))
	scope.Gauge("disk_limit_bytes").Update(float64(f.limit))
	if f.limit == 0 {
		return
	}
	scope.Gauge("disk_room_bytes").Update(float64(f.limit - used))
	switch {
	case used*100 < f.limit*roomAgain:
		f.warned = false
	case used*100 >= f.limit*nearlyFull && !f.warned:
		f.warned = true
		log.Warn("data folder fills the disk", f.describe(size)...)
	}
}

// describe returns log fields that tell a disk that the data folder fills from one that is full for another reason.
func (f *folderUse) describe(size replica.Sizes) []any {
	return []any{"folder_bytes", size.FolderBytes(), "limit_bytes", f.limit, "segment_bytes", size.SegmentBytes,
		"snapshot_bytes", size.SnapshotBytes, "queued_bytes", size.QueuedBytes}
}

// outageGap is how long a data folder has to work for its next failure to count as the first of another outage.
const outageGap = 10 * time.Second

const (
	// reopenDelay is the pause before a data folder that failed is opened again. It doubles with each failure of an outage up to
	// maxReopenDelay: an attempt reads the folder, and may bring a snapshot, and the users' limit for recovery (recovery_s, 12 s) counts
	// from when the disk has room again.
	reopenDelay    = 500 * time.Millisecond
	maxReopenDelay = 2 * time.Second
	// roomCheckInterval is the time between checks whether the disk has room again during a pause. A check writes one block.
	roomCheckInterval = 250 * time.Millisecond
	// reopenRoom is the size of some batches of ordinary commands. With that, small changes are served although a large one has no room.
	reopenRoom = 64 << 10
)

// reopenPause returns the pause after the given number of failures of an outage.
func reopenPause(attempts int) time.Duration {
	pause := reopenDelay
	for ; attempts > 1 && pause < maxReopenDelay; attempts-- {
		pause *= 2
	}
	return min(pause, maxReopenDelay)
}

// folderOutage counts and reports the failures of the data folder that follow each other closely.
type folderOutage struct {
	scope    tally.Scope
	attempts int
	since    time.Time
}

// failed records that the folder, which was opened at began, failed at a time. It returns the number of failures of this outage and
// how long it has lasted.
func (o *folderOutage) failed(began, at time.Time) (attempts int, lasted time.Duration) {
	if o.attempts == 0 || at.Sub(began) >= outageGap {
		o.attempts, o.since = 0, at
	}
	o.attempts++
	o.scope.Counter("data_folder_failures").Inc(1)
	o.scope.Gauge("data_folder_failing").Update(1)
	return o.attempts, at.Sub(o.since)
}

// room returns how many bytes the disk must take for the folder to be opened again, so that the instance doesn't take part only to fail at
// its next write.
func (o *folderOutage) room() int {
	if o.attempts == 0 {
		return 0
	}
	return reopenRoom
}

// opened records that the folder is open.
func (o *folderOutage) opened() { o.scope.Gauge("data_folder_failing").Update(0) }

const (
	// probeName and probeBytes are the name and the size, a block of most file systems, of the file that checkRoom writes.
	probeName  = "probe"
	probeBytes = 4 << 10
)

// checkRoom makes a small file durable in a data folder and removes it again. It doesn't free any room, as a write to the journal does.
func checkRoom(fs journal.FS, dir string) error {
	path := filepath.Join(dir, probeName)
	file, err := fs.Create(path)
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err = file.Write(make([]byte, probeBytes)); err == nil {
		err = file.Sync()
	}
	return Error.Wrap(errors.Join(err, file.Close(), fs.Remove(path)))
}
