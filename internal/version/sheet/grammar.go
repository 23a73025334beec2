package sheet

import (
	"fmt"
	"strings"
)

// Field documents a column that rows of a kind can fill.
type Field struct {
	Kind    string
	Column  string
	Allowed string
	Default string // meaning of an empty field; empty if the field must be filled
	Meaning string
}

const (
	allowedName     = "name"
	allowedCount    = "0 to 1000000"
	allowedPositive = "1 to 1000000"
	allowedFlag     = "yes, no"
	noValue         = "none"
)

// Fields lists every field of every kind of row, in the order of docs/SHEET.md.
func Fields() []Field {
	return []Field{
		{"sheet", "number", "1 to 2^53", "", "number of the sheet; the first accepted sheet wins its number"},
		{"pool", "name", allowedName, "", "name of the pool"},
		{"pool", "service", allowedName, "", "service that its instances offer"},
		{"pool", "instances", allowedCount, "0", "instances that the pool should hold"},
		{"pool", "min_available", "0 to instances", "0", "instances that must be available at any time: the availability budget"},
		{"pool", "max_instances", "instances to 1000000", "no bound", "instances that the pool may grow to"},
		{"pool", "max_rack_unavailable", allowedCount, "no bound", "instances of one rack that may be unavailable by plan"},
		{"pool", "spare", allowedFlag, "no", "the pool lends its instances to the others"},
		{"queue", "name", allowedName, "", "name in the path of a request"},
		{"queue", "pool", "name of a pool", "", "pool that does the work"},
		{"queue", "open", allowedFlag, "no", "takes requests without a key"},
		{"queue", "team", "name of a workspace", noValue, "workspace that an open queue charges"},
		{"queue", "max_wait", "duration in ms steps", "2s", "longest wait before dispatch"},
		{"queue", "max_run", "duration in ms steps", "60s", "longest run of a request"},
		{"queue", "max_waiting", allowedPositive, "1000", "requests that wait at one entry instance at most"},
		{"queue", "idempotent", allowedFlag, "no", "every method is idempotent here, whatever RFC 9110 says"},
		{"team", "name", allowedName, "", "name of the workspace"},
		{"team", "share", allowedPositive, "1", "weight when a pool is full"},
		{"team", "limit", allowedPositive, "row of kind limit", "requests and jobs that run at one time in the whole fleet"},
		{"team", "when_cut_off", "serve, refuse", "serve", "what a data centre without a quorum does for the workspace"},
		{"limit", "team", "name of a workspace", "", "workspace whose limit this row sets, in place of the workspace row's"},
		{"limit", "limit", allowedPositive, "", "requests and jobs that run at one time in the whole fleet"},
		{"key", "team", "name of a workspace", "", "workspace that the key admits"},
		{"key", "sha256", "64 hexadecimal digits", "", "digest of the key (laburnumctl key hash)"},
		{"share", "team", "name of a workspace", "", "workspace"},
		{"share", "pool", "name of a pool", "", "pool in which the workspace has another share"},
		{"share", "share", allowedPositive, "", "weight in that pool"},
		{"maintenance", "name", allowedName, "", "name of the plan and its wave"},
		{"maintenance", "pool", "name of a pool", "all pools", "pool to maintain"},
		{"maintenance", "start", "time with zone", "", "no instance is taken before"},
		{"maintenance", "end", "time after start", "", "no instance is taken after"},
		{"maintenance", "max_step", allowedCount, "the budgets decide", "instances in one step at most"},
		{"maintenance", "drain", "duration in s steps", "10m", "wait for an instance's work before the operator is told"},
	}
}

// Grammar renders Fields as a Markdown table.
func Grammar() string {
	var b strings.Builder
	b.WriteString("| kind | column | allowed | empty means | meaning |\n|---|---|---|---|---|\n")
	for _, f := range Fields() {
		def := f.Default
		if def == "" {
			def = "*a fault*"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", f.Kind, f.Column, f.Allowed, def, f.Meaning)
	}
	return b.String()
}
