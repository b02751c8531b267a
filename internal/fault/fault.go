// Package fault lists what is wrong with a document, each fault with the path of its field.
package fault

import "strings"

// Fault is one thing wrong with a document.
type Fault struct {
	// Path is the field's path, such as services[2].routes[0].method; empty for the document.
	Path string
	// Reason says what is wrong, in one line.
	Reason string
}

func (f Fault) String() string {
	if f.Path == "" {
		return f.Reason
	}
	return f.Path + ": " + f.Reason
}

// List is a non-empty list of faults as an error.
type List []Fault

func (f List) Error() string { return strings.Join(f.Lines(), "\n") }

// Lines returns what is wrong, a fault each.
func (f List) Lines() []string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.String()
	}
	return lines
}
