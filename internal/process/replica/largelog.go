package replica

import (
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// logLarge logs a message that exceeds maxAppendBytes, which is a single large entry or a part of a snapshot, within a limit.
func (n *Node) logLarge(event, direction, peer string, m *laburnumv1.ConsensusMessage, bytes int) {
	if bytes <= maxAppendBytes+largeMessageSlack {
		return
	}
	if omitted, ok := n.largeLog.Allow(time.Now()); ok {
		n.opts.Log.Info(event, direction, peer, "type", m.Type, "after", m.Index, "entries", len(m.Entries), "bytes", bytes, "omitted", omitted)
	}
}

// largeMessageSlack is the room for the frame of a message of full size, which isn't logged.
const largeMessageSlack = 4 << 10
