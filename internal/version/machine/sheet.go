package machine

import (
	"bytes"
	"encoding/hex"
	"fmt"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// applySheet accepts a configuration if its sheet number is higher than the one in force. If a number comes again,
// the same content gets the first outcome again and other content is a conflict.
func (s *commandApplier) applySheet(a *laburnumv1.ApplySheet) {
	cfg := a.GetConfiguration()
	number := cfg.GetSheetNumber()
	if first := s.sheets.get(number); first != nil {
		s.result.Sheet = first
		if !bytes.Equal(first.Digest, cfg.GetDigest()) {
			s.refuse("sheet %d was already accepted with digest %s from %s", number, shortDigest(first.Digest), first.By)
		}
		return
	}
	if s.sheets.tooOld(number) {
		s.refuse("sheet %d is too old to tell whether it was accepted; sheet %d is in force", number, s.State.SheetNumber)
		return
	}
	if number <= s.State.SheetNumber {
		s.refuse("sheet %d is older than sheet %d in force", number, s.State.SheetNumber)
		return
	}
	delta := s.State.Diff(cfg)
	s.applyChange(&laburnumv1.Change{Kind: &laburnumv1.Change_Configuration{Configuration: delta}})
	outcome := &laburnumv1.SheetOutcome{
		Number: number,
		Digest: cfg.GetDigest(),
		Index:  s.index,
		By:     s.cmd.By,
		AtUnix: s.cmd.AtUnixMs / 1000,
	}
	s.sheets.add(outcome)
	s.result.Sheet = outcome
	s.recordDecision(fmt.Sprintf("sheet/%d", number), "accepted", "digest "+shortDigest(cfg.GetDigest()))
}

// withdrawKey withdraws a key permanently; a later sheet cannot make it valid again.
func (s *commandApplier) withdrawKey(w *laburnumv1.KeyWithdrawal) {
	s.applyChange(&laburnumv1.Change{Kind: &laburnumv1.Change_Withdrawal{Withdrawal: w}})
	s.recordDecision("key/"+shortDigest(w.GetSha256()), "withdrawn", "asked by "+w.GetBy())
}

// shortDigest formats the first bytes of a digest for display.
func shortDigest(d []byte) string {
	const shownBytes = 6
	return hex.EncodeToString(d[:min(shownBytes, len(d))])
}
