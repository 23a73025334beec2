package feed

import (
	"context"
	"fmt"
	"sort"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumrouter/internal/version/state"
	"laburnumrouter/internal/version/view"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	_ "laburnumrouter/test/seed"
)

func sheetChange(number uint64, pools ...string) *laburnumv1.Change {
	up := &laburnumv1.Configuration{}
	for _, p := range pools {
		up.Pools = append(up.Pools, &laburnumv1.Pool{Name: p})
	}
	delta := &laburnumv1.ConfigurationDelta{SheetNumber: number, Upsert: up}
	return &laburnumv1.Change{Index: number, Kind: &laburnumv1.Change_Configuration{Configuration: delta}}
}

func TestStoreIndexNeverDecreases(t *testing.T) {
	s := NewStore()
	must.NoError(t, s.Advance([]*laburnumv1.Change{sheetChange(1, "a"), sheetChange(2, "b")}, 2))
	must.NoError(t, s.Advance([]*laburnumv1.Change{sheetChange(1, "a")}, 1))
	must.Eq(t, 2, s.View().Index)
	must.NoError(t, s.Restore(&laburnumv1.AcceptedState{Index: 1, Configuration: &laburnumv1.Configuration{SheetNumber: 1}}))
	must.Eq(t, 2, s.View().SheetNumber)
	must.NotNil(t, s.View().Pool("b"))
	must.NoError(t, s.Advance([]*laburnumv1.Change{sheetChange(2, "c"), sheetChange(3, "d")}, 3)) // change 2 is already applied
	must.Nil(t, s.View().Pool("c"))
	must.NotNil(t, s.View().Pool("d"))
}

func TestLaggingPeerReceivesSnapshot(t *testing.T) {
	s := NewStore()
	for i := uint64(1); i <= maxRetainedChanges+1; i++ {
		must.NoError(t, s.Advance([]*laburnumv1.Change{sheetChange(i, fmt.Sprint("p", i))}, i))
	}
	lagging := s.Fetch(context.Background(), 1)
	must.NotNil(t, lagging.Snapshot)
	must.Eq(t, maxRetainedChanges+1, lagging.Index)
	oneBehind := s.Fetch(context.Background(), maxRetainedChanges)
	must.Nil(t, oneBehind.Snapshot)
	must.Len(t, 1, oneBehind.Changes)
}

func TestWithdrawalIsPendingUntilCommitted(t *testing.T) {
	s := NewStore()
	w := &laburnumv1.KeyWithdrawal{Sha256: make([]byte, 32)}
	digest, _ := state.DigestOf(w.Sha256)
	must.True(t, s.InvalidateKey(w))
	must.False(t, s.InvalidateKey(w))
	must.True(t, s.View().Withdrawn(digest))
	must.Len(t, 1, s.PendingWithdrawals())

	// A snapshot without the withdrawal does not make the key valid again. The withdrawal stays pending until it is
	// committed.
	must.NoError(t, s.Restore(&laburnumv1.AcceptedState{Index: 5}))
	must.True(t, s.View().Withdrawn(digest))
	must.Len(t, 1, s.PendingWithdrawals())
	must.NoError(t, s.Advance([]*laburnumv1.Change{{Index: 6, Kind: &laburnumv1.Change_Withdrawal{Withdrawal: w}}}, 6))
	must.SliceEmpty(t, s.PendingWithdrawals())
}

// membersByPool lists the instances that are assigned to each pool, with their epochs.
func membersByPool(v *view.View) map[string][]string {
	all := make(map[string][]string)
	for i := range 3 {
		pool := fmt.Sprint("p", i)
		for _, a := range v.Assigned(pool) {
			all[pool] = append(all[pool], fmt.Sprint(a.Instance, "@", a.Epoch))
		}
		sort.Strings(all[pool])
	}
	return all
}

// TestIncrementalViewMatchesCompiledView applies random changes step by step. Each view shares its unchanged parts with
// the view before: it must equal one compiled from the whole state, and the earlier view must not change.
func TestIncrementalViewMatchesCompiledView(t *testing.T) {
	states := []laburnumv1.AssignmentState{
		laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED,
		laburnumv1.AssignmentState_ASSIGNMENT_STATE_DRAINING,
		laburnumv1.AssignmentState_ASSIGNMENT_STATE_RELEASED,
	}
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore()
		for index := uint64(1); index <= 40; index++ {
			before := s.View()
			old := membersByPool(before)
			var changes []*laburnumv1.Change
			for range rapid.IntRange(1, 3).Draw(t, "changes") {
				id := fmt.Sprint("i", rapid.IntRange(0, 9).Draw(t, "instance"))
				c := &laburnumv1.Change{Index: index, Kind: &laburnumv1.Change_ForgottenInstance{ForgottenInstance: id}}
				if rapid.IntRange(0, 4).Draw(t, "forget") > 0 {
					a := &laburnumv1.Assignment{
						Instance: id, Epoch: index,
						Pool:  fmt.Sprint("p", rapid.IntRange(0, 2).Draw(t, "pool")),
						State: rapid.SampledFrom(states).Draw(t, "state"),
					}
					c.Kind = &laburnumv1.Change_Assignment{Assignment: a}
				}
				changes = append(changes, c)
			}
			must.NoError(t, s.Advance(changes, index))
			must.Eq(t, old, membersByPool(before))
			s.Read(func(st *state.State) {
				whole := view.Compile(st)
				must.Eq(t, membersByPool(whole), membersByPool(s.View()))
				must.Eq(t, len(whole.OutOfService()), len(s.View().OutOfService()))
				for i := range 10 {
					id := fmt.Sprint("i", i)
					must.Eq(t, whole.Assignment(id).GetEpoch(), s.View().Assignment(id).GetEpoch())
				}
			})
		}
	})
}
