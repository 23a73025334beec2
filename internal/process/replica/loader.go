package replica

import (
	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/process/journal"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// loader rebuilds the state machine while a data folder is opened.
type loader struct {
	machine StateMachine
	// last describes the state machine: the snapshot that it was restored from, or the last entry that was applied. Its membership is
	// the one in force there.
	last *laburnumv1.SnapshotMeta
}

func (l *loader) restore(meta *laburnumv1.SnapshotMeta, data []byte) error {
	l.last = proto.Clone(meta).(*laburnumv1.SnapshotMeta)
	if meta.Index == 0 {
		return nil // it holds the initial voters only
	}
	return l.machine.Restore(meta.Index, data)
}

func (l *loader) apply(e *laburnumv1.LogEntry) error {
	if l.last == nil {
		l.last = &laburnumv1.SnapshotMeta{}
	}
	l.last.Index, l.last.Term = e.Index, e.Term
	switch e.Kind {
	case laburnumv1.EntryKind_ENTRY_KIND_COMMAND:
		l.machine.Apply(e.Index, e.Data)
	case laburnumv1.EntryKind_ENTRY_KIND_MEMBERSHIP:
		next := &laburnumv1.Membership{}
		if proto.Unmarshal(e.Data, next) == nil { // core skips the same entries
			l.last.Membership = next
		}
	}
	return nil
}

// saveLoaded saves a snapshot of the entries that were applied while the folder was opened, and drops them from it. If the disk has
// no room for it, the node runs on what was applied, and the folder keeps them.
func (n *Node) saveLoaded(c *journal.Contents, l *loader) error {
	data, err := n.opts.Machine.Snapshot()
	if err != nil {
		return err
	}
	from := c.Snapshot.Index
	l.last.Size = uint64(len(data))
	c.Snapshot = l.last
	err = n.journal.SaveSnapshot(l.last, data, c.Applied+1)
	if journal.ErrNoSpace.Has(err) {
		n.snapshotSkipped(l.last, err)
		return nil
	}
	if err != nil {
		return err
	}
	n.opts.Log.Info("log compacted at the start", "from", from, "to", c.Applied, "snapshot_bytes", len(data))
	return nil
}

// ensureRoom makes sure that the disk takes Options.Room more bytes. If it doesn't, a snapshot of all entries that are known to be
// committed makes room in place of them.
func (n *Node) ensureRoom(c *journal.Contents, l *loader) error {
	err := n.journal.EnsureRoom(n.opts.Room)
	if !journal.ErrNoSpace.Has(err) || !l.applyCommitted(c) {
		return err
	}
	if err := n.saveLoaded(c, l); err != nil {
		return err
	}
	return n.journal.EnsureRoom(n.opts.Room)
}

// applyCommitted applies the entries of a folder that are known to be committed, and drops them from c. It returns false if none is
// left to be applied.
func (l *loader) applyCommitted(c *journal.Contents) bool {
	from := max(c.Snapshot.Index, c.Applied)
	for len(c.Entries) > 0 && c.Entries[0].Index <= c.HardState.Commit {
		if e := c.Entries[0]; e.Index > from {
			_ = l.apply(e) // never fails
			c.Applied = e.Index
		}
		c.Entries = c.Entries[1:]
	}
	return c.Applied > from
}
