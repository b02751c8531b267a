package proxy

import (
	"reflect"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// requestFields are the indexes of the fields of a Request that are sent, in their order on the wire.
var requestFields = func() (fields []int) {
	t := reflect.TypeFor[Request]()
	for i := range t.NumField() {
		if t.Field(i).IsExported() {
			fields = append(fields, i)
		}
	}
	return fields
}()

// EncodeMsgpack encodes a request as an array. A request without a workspace is encoded as by nodes of the version before
// workspaces, which decode no array of another length.
func (r *Request) EncodeMsgpack(e *msgpack.Encoder) error {
	v, fields := reflect.ValueOf(r).Elem(), requestFields
	if r.Workspace == "" {
		fields = fields[:len(fields)-1] // Workspace is the last
	}
	if err := e.EncodeArrayLen(len(fields)); err != nil {
		return err
	}
	for _, i := range fields {
		if err := e.EncodeValue(v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack decodes a request. Fields that the sender lacks stay as they are, and those that only the sender has are skipped.
func (r *Request) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	v := reflect.ValueOf(r).Elem()
	for i := range n {
		if i < len(requestFields) {
			err = d.DecodeValue(v.Field(requestFields[i]))
		} else {
			err = d.Skip()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// isUndecodable reports whether an owner replied that it cannot decode the request, as one of the version before workspaces does
// if the request has one. Such a request has not run.
func isUndecodable(err error) bool {
	return strings.Contains(err.Error(), "number of fields in array-encoded struct has changed")
}
