package machine

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// setRecordGroup replaces the record group of a data centre under a new epoch. The group is the entries that store the
// data centre's idempotency records; its first member also holds the data centre's slices.
func (s *commandApplier) setRecordGroup(g *laburnumv1.RecordGroup) {
	current := s.State.RecordGroups[g.GetDataCentre()]
	if err := verifyRecordGroup(current, g); err != nil {
		s.refuse("%v", err)
		return
	}
	to := proto.Clone(g).(*laburnumv1.RecordGroup)
	to.Epoch = s.index
	to.CompleteSinceUnixMs = max(to.CompleteSinceUnixMs, current.GetCompleteSinceUnixMs())
	to.PreviousHolder = current.GetPreviousHolder()
	if currentMembers := current.GetMembers(); len(currentMembers) > 0 && currentMembers[0] != to.Members[0] {
		to.PreviousHolder = currentMembers[0]
	}
	s.applyChange(&laburnumv1.Change{Kind: &laburnumv1.Change_RecordGroup{RecordGroup: to}})
	s.recordDecision("record-group/"+to.DataCentre, "members", fmt.Sprintf("%v learners %v", to.Members, to.Learners))
}

// verifyRecordGroup checks that the group has not changed since the planner read it and that no records are lost:
// every new member was a member or a learner before, and at least one old member stays. A plan that raises
// CompleteSinceUnixMs declares that records of ids created before that time may have been lost; then members and
// learners may be replaced freely.
func verifyRecordGroup(current, to *laburnumv1.RecordGroup) error {
	dc := to.GetDataCentre()
	if to.GetEpoch() != current.GetEpoch() {
		return Error.New("record group of %s is at epoch %d, not %d", dc, current.GetEpoch(), to.GetEpoch())
	}
	if dc == "" || len(to.GetMembers()) == 0 {
		return Error.New("record group of %q would have no member", dc)
	}
	if len(current.GetMembers()) == 0 || to.CompleteSinceUnixMs > current.GetCompleteSinceUnixMs() {
		return nil
	}
	eligible := make(map[string]bool)
	for _, m := range append(append([]string(nil), current.Members...), current.Learners...) {
		eligible[m] = true
	}
	for _, m := range to.Members {
		if !eligible[m] {
			return Error.New("%s cannot join the record group of %s before it has learned its records", m, dc)
		}
	}
	for _, m := range current.Members {
		for _, kept := range to.Members {
			if m == kept {
				return nil
			}
		}
	}
	return Error.New("no member of the record group of %s would remain", dc)
}
