package core

import (
	"testing"

	"google.golang.org/protobuf/proto"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// FuzzStep guards against a message of a faulty member that ends the process of another: whatever it holds, a follower and a
// leader go on.
func FuzzStep(f *testing.F) {
	for kind := range laburnumv1.ConsensusType_name {
		for _, m := range []*laburnumv1.ConsensusMessage{
			{Term: 2, Index: 1 << 40, LogTerm: 2, Commit: 1 << 41, Entries: []*laburnumv1.LogEntry{{Index: 7, Term: 1}, {Index: 3, Term: 9}}},
			{Term: 1 << 62, Index: 2, Commit: 9, Entries: []*laburnumv1.LogEntry{nil, {Kind: laburnumv1.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: []byte{1, 2}}}},
			{Term: 1, Index: 1, LogTerm: 1, Reject: true, Round: 1 << 63},
		} {
			m.Type, m.Cluster = laburnumv1.ConsensusType(kind), 7
			data, err := proto.Marshal(m)
			if err == nil {
				f.Add(data, true)
				f.Add(data, false)
			}
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, toLeader bool) {
		m := &laburnumv1.ConsensusMessage{}
		if proto.Unmarshal(data, m) != nil {
			t.Skip()
		}
		n, a := newElectedNetwork(t, "a", "b", "c")
		to, from := a, n.peers["b"]
		if !toLeader {
			to, from = from, to
		}
		m.Cluster, m.Replica = 7, from.replica
		to.core.Step(Message{From: from.name, To: to.name, ConsensusMessage: m})
		for range 3 {
			to.core.Tick()
			n.processReady(to)
		}
	})
}
