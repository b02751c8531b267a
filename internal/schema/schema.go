// Package schema checks JSON documents against a JSON Schema and reports every
// fault with the path of the field.
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

// Compile reads a schema that is part of the program; a broken one panics.
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

// Check returns the faults of the JSON text, nil when it has none.
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

// leaves lists the innermost causes: they name the field itself.
func leaves(e *jsonschema.ValidationError, out fault.List) fault.List {
	if len(e.Causes) == 0 {
		return append(out, fault.Fault{Path: path(e.InstanceLocation), Reason: e.ErrorKind.LocalizedString(english)})
	}
	for _, c := range e.Causes {
		out = leaves(c, out)
	}
	return out
}

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
