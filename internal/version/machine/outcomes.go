package machine

import (
	"slices"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// maxSheetOutcomes limits the stored outcomes of accepted sheets. It covers more than two days if each of 14,000
// daily changes is a sheet of its own.
const maxSheetOutcomes = 30_000

// sheetOutcomes stores the outcomes of the latest accepted sheets. Sheet numbers are accepted in ascending order only.
type sheetOutcomes struct {
	byNumber map[uint64]*laburnumv1.SheetOutcome
	numbers  []uint64 // ascending
}

func newSheetOutcomes(list []*laburnumv1.SheetOutcome) *sheetOutcomes {
	o := &sheetOutcomes{byNumber: make(map[uint64]*laburnumv1.SheetOutcome, len(list))}
	for _, s := range list {
		o.byNumber[s.Number] = s
		o.numbers = append(o.numbers, s.Number)
	}
	slices.Sort(o.numbers)
	return o
}

// get returns the outcome of a sheet, or nil.
func (o *sheetOutcomes) get(number uint64) *laburnumv1.SheetOutcome { return o.byNumber[number] }

// add stores an outcome, whose number must be higher than all stored ones. Beyond maxSheetOutcomes the oldest is dropped.
func (o *sheetOutcomes) add(s *laburnumv1.SheetOutcome) {
	o.byNumber[s.Number] = s
	o.numbers = append(o.numbers, s.Number)
	if len(o.numbers) > maxSheetOutcomes {
		delete(o.byNumber, o.numbers[0])
		o.numbers = o.numbers[1:]
	}
}

// tooOld reports whether the outcome of a number may have been dropped.
func (o *sheetOutcomes) tooOld(number uint64) bool {
	return len(o.numbers) == maxSheetOutcomes && number < o.numbers[0]
}

// list returns the stored outcomes in ascending order of their numbers.
func (o *sheetOutcomes) list() []*laburnumv1.SheetOutcome {
	all := make([]*laburnumv1.SheetOutcome, 0, len(o.numbers))
	for _, n := range o.numbers {
		all = append(all, o.byNumber[n])
	}
	return all
}
