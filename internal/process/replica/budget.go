package replica

import (
	"cmp"

	"laburnumrouter/internal/process/journal"
)

// Budget bounds in bytes what a replica keeps of its log. A single entry that is larger is still taken, so that a budget
// delays no entry for ever.
type Budget struct {
	// KeepBytes bounds the entries before a snapshot that are kept for lagging followers, in memory and in the data folder.
	KeepBytes int
	// SnapshotBytes is the size of applied commands after which a snapshot is taken even if fewer than SnapshotEvery entries
	// were applied.
	SnapshotBytes int
	// PendingBytes bounds the entries that wait to be committed or to be written by the own disk.
	PendingBytes int
	// InflightBytes bounds the unanswered entries on the way to one follower.
	InflightBytes int
	// QueueBytes bounds the messages that are queued for one other replica.
	QueueBytes int
	// ReceiveBytes bounds the messages of other replicas that wait to be handled.
	ReceiveBytes int
	// StateBytes is the size of the largest snapshot for which the disk has room, and CommandBytes that of the largest command; 0
	// means no limit. A replica doesn't check them: those who propose commands keep to them.
	StateBytes, CommandBytes int
}

const (
	mib = 1 << 20
	// minLogShare and maxLogShare bound KeepBytes. A log of ordinary commands has some 4 MiB for each 4,096 entries.
	minLogShare = 1 * mib
	maxLogShare = 16 * mib
	// minInflightBytes is a bound with which the queue to a replica has room for some chunks of a snapshot.
	minInflightBytes = 4 * snapshotChunkBytes
	// The log is held in memory and on disk up to three times its share: the entries before the snapshot, those after it, and
	// those that are still to be committed or written.
	memoryFractionOfLog = 16
	diskFractionOfLog   = 6
	// diskReserveFraction is the part of the disk that is left for the small files, and for the blocks that files end in.
	diskReserveFraction = 16
	// minStateBytes is a bound below which little could be served.
	minStateBytes = 8 * mib
	// commandsPerState is the size of the largest snapshot in relation to the largest command.
	commandsPerState = 4
)

// BudgetFor returns the budget of a process with limits on its memory and its disk, in bytes; 0 means no limit.
func BudgetFor(memory, disk int64) Budget {
	share := int64(maxLogShare)
	if memory > 0 {
		share = min(share, memory/memoryFractionOfLog)
	}
	if disk > 0 {
		share = min(share, disk/diskFractionOfLog)
	}
	keep := int(max(share, minLogShare))
	inflight := max(keep/8, minInflightBytes)
	b := Budget{
		KeepBytes: keep, SnapshotBytes: keep / 2, PendingBytes: keep / 2, ReceiveBytes: keep / 2,
		InflightBytes: inflight, QueueBytes: 2 * inflight,
	}
	if disk > 0 {
		room := usableDisk(disk) - int64(b.logPeakBytes())
		b.StateBytes = int(max(room*commandsPerState/(2*commandsPerState+1), minStateBytes))
		b.CommandBytes = b.StateBytes / commandsPerState
	}
	return b
}

// usableDisk returns what the log and the snapshots may take up of a disk.
func usableDisk(disk int64) int64 { return disk - disk/diskReserveFraction }

// LeastDisk returns the size of the smallest disk, in whole MiB, on which the folder has room for all that its budget allows, with a
// limit on the memory.
func LeastDisk(memory int64) int64 {
	disk := int64(mib)
	for int64(BudgetFor(memory, disk).FolderPeakBytes()) > usableDisk(disk) {
		disk += mib
	}
	return disk
}

// logPeakBytes is what the log takes up on disk at most, without its largest command: what is kept before a snapshot, what is applied
// while that is being sent, what is still to be committed, a write, and two segments of which a part has expired.
func (b Budget) logPeakBytes() int {
	return b.KeepBytes + b.KeepBytes - b.KeepBytes/8 + b.PendingBytes + maxWriteBytes + 2*journal.DefaultSegmentBytes
}

// FolderPeakBytes is what the data folder takes up at most, with the newest snapshot, the one that replaces it, and one command that
// exceeds the bounds on the log.
func (b Budget) FolderPeakBytes() int { return b.logPeakBytes() + b.CommandBytes + 2*b.StateBytes }

// orDefaults returns the budget with the fields that are zero set to those of a process without limits.
func (b Budget) orDefaults() Budget {
	d := BudgetFor(0, 0)
	for _, field := range []struct {
		value *int
		from  int
	}{
		{&b.KeepBytes, d.KeepBytes}, {&b.SnapshotBytes, d.SnapshotBytes}, {&b.PendingBytes, d.PendingBytes},
		{&b.InflightBytes, d.InflightBytes}, {&b.QueueBytes, d.QueueBytes}, {&b.ReceiveBytes, d.ReceiveBytes},
	} {
		*field.value = cmp.Or(*field.value, field.from)
	}
	return b
}
