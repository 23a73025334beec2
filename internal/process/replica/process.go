package replica

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/process/replica/core"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// processReady does the pending work of the core, in the order that core.Ready requires.
func (n *Node) processReady() error {
	for n.core.HasReady() {
		r := n.core.Ready()
		n.send(r.Messages)
		n.logElections(r)
		if r.Write != nil {
			n.storage.enqueue(storageTask{write: r.Write})
		}
		if err := n.apply(r); err != nil {
			return err
		}
		n.core.Advance(r)
	}
	if err := n.maybeSnapshot(); err != nil {
		return err
	}
	n.publishStatus()
	return nil
}

// completeTasks acts on what the storage has finished.
func (n *Node) completeTasks(tasks []storageTask) {
	for _, t := range tasks {
		switch {
		case t.write != nil:
			n.core.Durable(t.write)
			n.send(t.write.Messages)
		case t.save != nil:
			n.savingSnapshot = false
			if t.save.skipped != nil {
				n.snapshotSkipped(t.save.meta, t.save.skipped)
				n.compactUnsaved(t.save)
				continue
			}
			n.retrySnapshot = time.Time{}
			n.core.Compact(t.save.meta, t.save.keepFrom)
			size := n.sizes(n.core.Status())
			n.opts.Log.Info("snapshot saved", "index", t.save.meta.Index, "bytes", len(t.save.data), "entries_kept", size.Entries,
				"entry_bytes_kept", size.EntryBytes, "queued_bytes", size.QueuedBytes, "segment_bytes", size.SegmentBytes)
		case t.chunk.Chunk != nil:
			n.transmit([]core.Message{*t.chunk})
		}
	}
}

// snapshotSkipped notes that the disk had no room for a snapshot.
func (n *Node) snapshotSkipped(meta *laburnumv1.SnapshotMeta, err error) {
	pause := snapshotRetryTicks * n.opts.Tick
	n.retrySnapshot = time.Now().Add(pause)
	n.opts.Log.Warn("snapshot skipped", "index", meta.Index, "bytes", meta.Size, "error", err, "pause", pause)
}

// compactUnsaved drops entries from memory as if a snapshot had been saved, once they exceed what two snapshots skipped in a row leave.
// The folder keeps them; a follower that needs them waits for the next snapshot that is saved.
func (n *Node) compactUnsaved(skipped *ownSnapshot) {
	s, o := n.core.Status(), &n.opts
	if uint64(s.Entries) > o.KeepEntries+2*o.SnapshotEvery || s.EntryBytes > o.Budget.KeepBytes+2*o.Budget.SnapshotBytes {
		n.core.Compact(skipped.meta, skipped.keepFrom)
	}
}

// send sends messages. The bytes of a snapshot are read by the storage first.
func (n *Node) send(messages []core.Message) {
	var ready []core.Message
	for _, m := range messages {
		if m.Type == laburnumv1.ConsensusType_CONSENSUS_TYPE_SNAPSHOT {
			n.storage.enqueue(storageTask{chunk: &m})
			continue
		}
		ready = append(ready, m)
	}
	n.transmit(ready)
}

// transmit encodes messages and passes those to the same receiver to the transport in one call.
func (n *Node) transmit(messages []core.Message) {
	byReceiver := make(map[string][]*laburnumv1.ReplicaMessage)
	var order []string
	for _, m := range messages {
		data, err := proto.Marshal(m.ConsensusMessage)
		if err != nil {
			n.opts.Log.Error("consensus message cannot be encoded", "error", err)
			continue
		}
		if byReceiver[m.To] == nil {
			order = append(order, m.To)
		}
		n.logLarge("large message queued", "to", m.To, m.ConsensusMessage, len(data))
		byReceiver[m.To] = append(byReceiver[m.To], &laburnumv1.ReplicaMessage{From: m.From, To: m.To, Data: data})
	}
	for _, to := range order {
		n.opts.Transport.Send(n.member(to), byReceiver[to])
	}
}

// member returns a member of the membership in force, or one with only a name if there is none of that name.
func (n *Node) member(name string) *laburnumv1.Member {
	for _, m := range n.core.Status().Members {
		if m.Name == name {
			return m
		}
	}
	return &laburnumv1.Member{Name: name}
}

func (n *Node) decodeMessages(messages []*laburnumv1.ReplicaMessage) ([]core.Message, error) {
	batch := make([]core.Message, 0, len(messages))
	for _, m := range messages {
		decoded := &laburnumv1.ConsensusMessage{}
		if err := proto.Unmarshal(m.Data, decoded); err != nil {
			return nil, err
		}
		batch = append(batch, core.Message{From: m.From, To: m.To, ConsensusMessage: decoded})
		n.logLarge("large message received", "from", m.From, decoded, len(m.Data))
	}
	return batch, nil
}

// apply updates the state machine and answers the proposals and reads that are thereby done.
func (n *Node) apply(r core.Ready) error {
	if r.Snapshot != nil {
		if err := n.opts.Machine.Restore(r.Snapshot.Meta.Index, r.Snapshot.Data); err != nil {
			return err
		}
		n.applied, n.snapshotIndex = r.Snapshot.Meta.Index, r.Snapshot.Meta.Index
		n.opts.Log.Info("snapshot taken over", "index", n.applied, "bytes", len(r.Snapshot.Data))
		n.failWaitersUpTo(n.applied)
	}
	for _, e := range r.Committed {
		var result []byte
		if e.Kind == laburnumv1.EntryKind_ENTRY_KIND_COMMAND {
			began := time.Now()
			result = n.opts.Machine.Apply(e.Index, e.Data)
			n.turn.applied(time.Since(began), len(e.Data))
		}
		n.bytesSinceSnapshot += core.EntryBytes(e)
		n.applied = e.Index
		n.completeProposal(e, result)
	}
	for _, read := range r.Reads {
		if waiting, ok := n.pendingReads[read.ID]; ok {
			delete(n.pendingReads, read.ID)
			waiting.confirmed(read.Index, n.applied, time.Since(n.started))
			n.appliedWaiters = append(n.appliedWaiters, appliedWaiter{index: read.Index, done: waiting.done})
		}
	}
	n.notifyAppliedWaiters()
	return nil
}

// snapshotDue reports whether a snapshot is to be taken after a number of entries and bytes were applied since the last one. While
// that is being sent to a follower, the next one waits as long as everything after it can be kept: it would begin the transfer anew.
func (o *Options) snapshotDue(entries uint64, bytes int, sending bool) bool {
	if sending {
		return entries >= max(o.SnapshotEvery, o.KeepEntries) || bytes >= o.Budget.KeepBytes-o.Budget.KeepBytes/8
	}
	return entries >= o.SnapshotEvery || bytes >= o.Budget.SnapshotBytes
}

// maybeSnapshot takes a snapshot if one is due, or is to be taken again, unless the last one is still to be written.
func (n *Node) maybeSnapshot() error {
	retry := !n.retrySnapshot.IsZero() && time.Now().After(n.retrySnapshot)
	if n.savingSnapshot || !retry && !n.opts.snapshotDue(n.applied-n.snapshotIndex, n.bytesSinceSnapshot, n.core.SendingSnapshot()) {
		return nil
	}
	began := time.Now()
	data, err := n.opts.Machine.Snapshot()
	n.turn.snapshot = time.Since(began)
	if err != nil {
		return err
	}
	meta := n.core.SnapshotMetaAt(n.applied)
	meta.Size = uint64(len(data))
	keepFrom := n.core.KeepFrom(n.applied, n.opts.KeepEntries, n.opts.Budget.KeepBytes)
	n.storage.enqueue(storageTask{save: &ownSnapshot{meta: meta, data: data, keepFrom: keepFrom}})
	n.snapshotIndex, n.bytesSinceSnapshot, n.savingSnapshot = n.applied, 0, true
	return nil
}

// publishStatus stores the status for other goroutines, and logs changes of leader and voters.
func (n *Node) publishStatus() {
	s := n.core.Status()
	next := Status{
		Node: n.opts.Name, Leader: s.Leader, Term: s.Term, Committed: s.Committed, Applied: n.applied,
		IsLeader: s.Role == core.Leader, QuorumAlive: s.QuorumAlive, Members: s.Members, Active: s.Active, CaughtUp: s.CaughtUp,
		Leaderless: time.Duration(s.LeaderlessTicks) * n.opts.Tick,
		Sizes:      n.sizes(s),
	}
	for _, m := range s.Members {
		if m.Learner {
			next.Learners = append(next.Learners, m.Name)
		} else {
			next.Voters = append(next.Voters, m.Name)
		}
	}
	old := n.status.Load()
	if old != nil && old.Leader != next.Leader {
		n.opts.Log.Info("leader changed", "leader", next.Leader, "term", next.Term, "last_heard", time.Duration(s.SilentTicks)*n.opts.Tick)
	}
	if old != nil && !slices.Equal(old.Voters, next.Voters) {
		n.opts.Log.Info("voters changed", "voters", next.Voters, "learners", next.Learners)
	}
	n.status.Store(&next)
	n.members.Store(&s.Members)
}

func (n *Node) sizes(s core.Status) Sizes {
	size := Sizes{Entries: s.Entries, EntryBytes: s.EntryBytes, QueuedBytes: n.storage.queuedBytes()}
	size.SegmentBytes, size.SnapshotBytes = n.journal.Sizes()
	return size
}

func (n *Node) publishFailure(err error) {
	s := *n.status.Load()
	s.Sizes = n.sizes(n.core.Status())
	s.Failure, s.IsLeader, s.QuorumAlive, s.Leader = err.Error(), false, false, ""
	n.status.Store(&s)
}

// Status implements Log.
func (n *Node) Status() Status { return *n.status.Load() }
