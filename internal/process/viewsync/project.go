package viewsync

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Project returns a copy of a view for other processes. It lists all running requests if complete is set, otherwise
// only those that were not dispatched by a live entry process of the data centre. Running requests change with every
// announcement, so sending all of them would cost far more than the views themselves.
//
// entries lists the entries of the data centre: "<entry>.<incarnation>" for a live one, "<entry>" for one
// that is not heard.
func Project(view *laburnumv1.InstanceView, complete bool, entries []string) *laburnumv1.InstanceView {
	p := proto.Clone(view).(*laburnumv1.InstanceView)
	p.RunningComplete = complete
	p.RunningEntries = nil
	if !complete {
		p.RunningEntries = entries
		p.Running = slices.DeleteFunc(p.Running, func(id string) bool {
			return slices.Contains(entries, DispatcherOf(id))
		})
	}
	slices.Sort(p.Running)
	return p
}

// DispatcherOf returns the process that dispatched the request with the given id, as "<entry>.<incarnation>".
func DispatcherOf(requestID string) string {
	entry, rest, _ := strings.Cut(requestID, ".")
	incarnation, _, _ := strings.Cut(rest, ".")
	return entry + "." + incarnation
}

// AccountsFor reports whether a view lists every running request that the given process dispatched to the instance.
// process has the form "<entry>.<incarnation>".
func AccountsFor(view *laburnumv1.InstanceView, process string) bool {
	if view.RunningComplete {
		return true
	}
	entry, _, _ := strings.Cut(process, ".")
	for _, listed := range view.RunningEntries {
		name, _, live := strings.Cut(listed, ".")
		if name == entry {
			return !live || listed != process
		}
	}
	return false
}
