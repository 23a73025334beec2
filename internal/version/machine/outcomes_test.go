package machine

import (
	"testing"

	"github.com/shoenig/test/must"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// TestResendAfterManyLaterSheets sends a sheet again after thousands of later ones: it gets its first outcome, also
// after a restart from a snapshot. A number whose outcome was dropped is refused as too old.
func TestResendAfterManyLaterSheets(t *testing.T) {
	m := New()
	m.Apply(1, sheetCommand(5, "a"))
	m.Apply(2, sheetCommand(6, "b"))
	for i := uint64(0); i < maxSheetOutcomes-1; i++ {
		m.sheets.add(&laburnumv1.SheetOutcome{Number: 7 + i})
		m.State.SheetNumber = 7 + i
	}
	must.MapLen(t, maxSheetOutcomes, m.sheets.byNumber)
	data, err := m.Snapshot()
	must.NoError(t, err)
	restarted := New()
	must.NoError(t, restarted.Restore(data))

	for _, m := range []*Machine{m, restarted} {
		kept, _ := m.Apply(40_000, sheetCommand(6, "b"))
		must.False(t, kept.Conflict)
		must.Eq(t, 2, kept.Sheet.Index)
		dropped, _ := m.Apply(40_001, sheetCommand(5, "a"))
		must.True(t, dropped.Conflict)
		must.StrContains(t, dropped.Reason, "too old to tell")
		must.Nil(t, dropped.Sheet)
	}
}
