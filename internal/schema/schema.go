// Package schema validates JSON documents against a JSON Schema and reports every fault with the
// path of the field.
package schema

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"celerybank/internal/fault"
)

// Compile compiles a schema that is embedded in the program. It panics if the schema is invalid.
func Compile(name string, text []byte) *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, doc); err != nil {
		panic(err)
	}
	return c.MustCompile(name)
}

// Check returns the faults of the JSON document text against s, or nil if there are none.
func Check(s *jsonschema.Schema, text []byte) fault.List {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return fault.List{{Reason: "not JSON: " + err.Error()}}
	}
	err = s.Validate(doc)
	if err == nil {
		return nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return fault.List{{Reason: err.Error()}}
	}
	return leaves(invalid, nil)
}

var english = message.NewPrinter(language.English)

// leaves appends the innermost causes of e to out. Only these have the location of the faulty field
// itself; the errors above them have that of an enclosing object or array.
func leaves(e *jsonschema.ValidationError, out fault.List) fault.List {
	if len(e.Causes) == 0 {
		return append(out, fault.Fault{Path: path(e.InstanceLocation), Reason: e.ErrorKind.LocalizedString(english)})
	}
	for _, c := range e.Causes {
		out = leaves(c, out)
	}
	return out
}

// path formats a location in a JSON document, such as services[0].name.
func path(parts []string) string {
	var b strings.Builder
	for _, p := range parts {
		if p != "" && strings.Trim(p, "0123456789") == "" {
			fmt.Fprintf(&b, "[%s]", p)
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(p)
	}
	return b.String()
}
