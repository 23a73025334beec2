package sheet

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// rowReader reads the fields of one row, and records their faults and the columns that were read.
type rowReader struct {
	parser *parser
	row    int
	record []string
	used   map[string]bool
}

func (r *rowReader) raw(column string) string {
	r.used[column] = true
	i, ok := r.parser.columns[column]
	if !ok || i >= len(r.record) {
		return ""
	}
	return strings.TrimSpace(r.record[i])
}

func (r *rowReader) fault(column, read, format string, args ...any) {
	r.parser.fault(r.row, column, read, format, args...)
}

// rejectUnused records a fault for every filled column that the row's kind does not have.
func (r *rowReader) rejectUnused(kind string) {
	for _, column := range columnOrder {
		if r.used[column] {
			continue
		}
		if v := r.raw(column); v != "" {
			r.fault(column, v, "rows of kind %s have no such field", kind)
		}
	}
}

// rejectUnnamed records a fault for every filled field in a column without a name.
func (r *rowReader) rejectUnnamed() {
	named := make(map[int]bool, len(r.parser.columns))
	for _, i := range r.parser.columns {
		named[i] = true
	}
	for i, v := range r.record {
		if v = strings.TrimSpace(v); v != "" && !named[i] {
			r.fault(fmt.Sprintf("%d", i+1), v, "the first row names no such column")
		}
	}
}

func (r *rowReader) name(column string) string {
	v := r.raw(column)
	if !namePattern.MatchString(v) {
		r.fault(column, v, "must be 1 to 63 lower-case letters, digits, dots, hyphens and underscores")
	}
	return v
}

// ref reads a name that a row of the given kind must define.
func (r *rowReader) ref(column, kind string) string {
	v := r.name(column)
	r.parser.refs = append(r.parser.refs, reference{r.row, column, kind, v})
	return v
}

func (r *rowReader) optionalRef(column, kind string) string {
	if r.raw(column) == "" {
		return ""
	}
	return r.ref(column, kind)
}

// number reads a whole number from low to high. An empty field gives the default def; a default below low means
// that the field must be filled.
func (r *rowReader) number(column string, def, low, high uint64) uint64 {
	v := r.raw(column)
	if v == "" {
		if def < low {
			r.fault(column, v, "must be a whole number from %d to %d", low, high)
		}
		return def
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil && separatedNumber.MatchString(v) {
		r.fault(column, v, "must be a whole number from %d to %d in digits alone, without separators or decimals", low, high)
		return n
	}
	if err != nil || n < low || n > high {
		r.fault(column, v, "must be a whole number from %d to %d", low, high)
	}
	return n
}

func (r *rowReader) count(column string, def, low uint64) uint32 {
	return uint32(r.number(column, def, low, maxCount))
}

// separatedNumber matches numbers with separators or decimals as spreadsheets write them: 1.000, 1 000, 12,5.
var separatedNumber = regexp.MustCompile(`^[0-9]+([.,'\x{a0}\x{202f}\x{2009} ][0-9]+)+$`)

func (r *rowReader) flag(column string) bool {
	v := strings.ToLower(r.raw(column))
	switch v {
	case "yes", "true", "1":
		return true
	case "", "no", "false", "0":
		return false
	}
	r.fault(column, v, "must be yes or no")
	return false
}

// duration reads a duration such as 500ms or 20s, a multiple of unit.
func (r *rowReader) duration(column string, def, unit time.Duration) time.Duration {
	v := r.raw(column)
	if v == "" {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < unit || d > maxDuration || d%unit != 0 {
		r.fault(column, v, "must be a duration such as 20s, 90s or 2h, in whole steps of %s up to %s", unit, maxDuration)
		return def
	}
	return d
}

func (r *rowReader) timestamp(column string) int64 {
	v := r.raw(column)
	t, err := time.Parse(time.RFC3339, v)
	if err != nil {
		r.fault(column, v, "must be a time with zone such as 2026-12-03T22:00:00Z")
		return 0
	}
	return t.Unix()
}

func (r *rowReader) digest(column string) []byte {
	v := r.raw(column)
	sum, err := hex.DecodeString(v)
	if err != nil || len(sum) != 32 {
		r.fault(column, v, "must be a SHA-256 of 64 hexadecimal digits (laburnumctl key hash makes one)")
	}
	return sum
}
