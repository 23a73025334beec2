package machine

import (
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/version/sheet"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

func sheetCommand(number uint64, pool string) *laburnumv1.Command {
	cfg := &laburnumv1.Configuration{
		SheetNumber: number,
		Pools:       []*laburnumv1.Pool{{Name: pool, Service: "s", Instances: 1}},
	}
	cfg.Digest = sheet.Digest(cfg)
	return &laburnumv1.Command{By: "op", Kind: &laburnumv1.Command_ApplySheet{ApplySheet: &laburnumv1.ApplySheet{Configuration: cfg}}}
}

func TestFirstCommitWinsSheetNumber(t *testing.T) {
	m := New()
	first, changes := m.Apply(1, sheetCommand(7, "a"))
	must.False(t, first.Conflict)
	must.Len(t, 1, changes)

	// Hundreds of later sheets do not change the answer to a resend.
	for i := uint64(2); i <= 302; i++ {
		m.Apply(i, sheetCommand(6+i, "b"))
	}
	again, changes := m.Apply(303, sheetCommand(7, "a"))
	must.False(t, again.Conflict)
	must.Eq(t, 1, again.Sheet.Index)
	must.SliceEmpty(t, changes)

	rival, _ := m.Apply(304, sheetCommand(7, "c"))
	must.True(t, rival.Conflict)
	must.Eq(t, 1, rival.Sheet.Index)

	stale, _ := m.Apply(305, sheetCommand(3, "c"))
	must.True(t, stale.Conflict)
	must.Eq(t, 308, m.State.SheetNumber)
}
