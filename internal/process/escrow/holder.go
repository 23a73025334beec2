package escrow

import (
	"strconv"
	"strings"
)

const incarnationBase = 36

// HolderID returns the id of an incarnation of an entry, as holder or as borrower: "<entry>.<incarnation in base 36>".
func HolderID(entry string, incarnation uint64) string {
	return entry + "." + strconv.FormatUint(incarnation, incarnationBase)
}

// ParseHolderID splits an id made by HolderID. It ignores further fields after the incarnation.
func ParseHolderID(id string) (entry string, incarnation uint64, ok bool) {
	entry, rest, ok := strings.Cut(id, ".")
	if !ok {
		return "", 0, false
	}
	field, _, _ := strings.Cut(rest, ".")
	incarnation, err := strconv.ParseUint(field, incarnationBase, 64)
	return entry, incarnation, err == nil
}
