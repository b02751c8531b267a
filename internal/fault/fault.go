// Package fault reports the validation errors of a document, each with the path of its field.
package fault

import "strings"

// Fault is one validation error.
type Fault struct {
	// Path is the path of the field, such as services[2].routes[0].method; empty for the whole document.
	Path string
	// Reason describes the error in one line.
	Reason string
}

func (f Fault) String() string {
	if f.Path == "" {
		return f.Reason
	}
	return f.Path + ": " + f.Reason
}

// List is a non-empty list of faults that implements error.
type List []Fault

func (f List) Error() string { return strings.Join(f.Lines(), "\n") }

// Lines returns one line for each fault.
func (f List) Lines() []string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.String()
	}
	return lines
}
