// Package requestid generates and parses the ids under which requests run on instances.
//
// An id has the form "<entry>.<incarnation>.<counter>.<workspace>", with incarnation and counter in base 36. An entry is a
// node of the fleet that accepts requests. Instances list the ids of running requests in their announcements, so that a
// permit whose holder was lost can be matched to the work for which it was granted.
package requestid

import (
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("request id")

const (
	base       = 36
	separator  = "."
	fieldCount = 4
)

// ID identifies one run of one request.
type ID struct {
	Entry       string // entry instance that holds the permit
	Incarnation uint64 // incarnation of the entry's process
	Counter     uint64 // unique within the incarnation
	Workspace   string
}

// String returns the id's text form.
func (id ID) String() string {
	b := make([]byte, 0, len(id.Entry)+len(id.Workspace)+24)
	b = append(b, id.Entry...)
	b = append(b, '.')
	b = strconv.AppendUint(b, id.Incarnation, base)
	b = append(b, '.')
	b = strconv.AppendUint(b, id.Counter, base)
	b = append(b, '.')
	b = append(b, id.Workspace...)
	return string(b)
}

// Parse reads the text form of an id.
func Parse(s string) (ID, error) {
	parts := strings.Split(s, separator)
	if len(parts) != fieldCount || parts[0] == "" || parts[3] == "" {
		return ID{}, Error.New("%q does not have the form entry.incarnation.counter.workspace", s)
	}
	incarnation, err := strconv.ParseUint(parts[1], base, 64)
	if err != nil {
		return ID{}, Error.New("%q: incarnation: %w", s, err)
	}
	counter, err := strconv.ParseUint(parts[2], base, 64)
	if err != nil {
		return ID{}, Error.New("%q: counter: %w", s, err)
	}
	return ID{Entry: parts[0], Incarnation: incarnation, Counter: counter, Workspace: parts[3]}, nil
}

// Generator generates the ids of one entry's process. It is safe for concurrent use.
type Generator struct {
	entry       string
	incarnation uint64
	counter     atomic.Uint64
}

// NewGenerator returns a generator for one incarnation of an entry. Its ids differ from those of every other
// incarnation.
func NewGenerator(entry string, incarnation uint64) *Generator {
	return &Generator{entry: entry, incarnation: incarnation}
}

// Next returns a new id for a request of workspace.
func (g *Generator) Next(workspace string) ID {
	return ID{Entry: g.entry, Incarnation: g.incarnation, Counter: g.counter.Add(1), Workspace: workspace}
}
