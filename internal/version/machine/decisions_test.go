package machine

import (
	"testing"

	"github.com/shoenig/test/must"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// TestCommandWithOnlyDecisionsIsRecorded checks that a command without a kind stores its decisions and their author,
// as for a change of voters, which the state machine only records.
func TestCommandWithOnlyDecisionsIsRecorded(t *testing.T) {
	m := New()
	result, changes := m.Apply(1, &laburnumv1.Command{By: "ana", Decisions: []*laburnumv1.Decision{{Subject: "voter/control-4", Action: "added"}}})
	must.False(t, result.Conflict)
	must.SliceEmpty(t, changes)
	must.Len(t, 1, m.Decisions)
	must.Eq(t, "ana", m.Decisions[0].By)
}
