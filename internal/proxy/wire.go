package proxy

import "github.com/vmihailenco/msgpack/v5"

// requestLength is the number of elements of a Request without the fields that not every version knows: the codec refuses an array
// whose length differs from the number of fields, so that nodes of two versions would refuse each other's requests.
const requestLength = 21

// fields returns the fields of r in the order of the wire format.
func (r *Request) fields() [requestLength + 1]any {
	return [...]any{&r.ID, &r.Entry, &r.Service, &r.Route, &r.Version, &r.Instance, &r.Method, &r.URI, &r.Header, &r.Body, &r.Idempotent, &r.Key, &r.Hop,
		&r.Timeout, &r.Host, &r.RequestID, &r.Caller, &r.Rank, &r.MaxWait, &r.WaitToDeadline, &r.RateLimit, &r.Workspace}
}

// EncodeMsgpack implements msgpack.CustomEncoder. An empty Workspace is not sent, so that nodes of the version before it read the
// request where there are no workspaces.
func (r *Request) EncodeMsgpack(e *msgpack.Encoder) error {
	n := requestLength
	if r.Workspace != "" {
		n++
	}
	if err := e.EncodeArrayLen(n); err != nil {
		return err
	}
	fields := r.fields()
	return e.EncodeMulti(fields[:n]...)
}

// DecodeMsgpack implements msgpack.CustomDecoder. Fields that were not sent are zero, unknown ones are skipped.
func (r *Request) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	*r = Request{}
	fields := r.fields()
	if err := d.DecodeMulti(fields[:max(0, min(n, len(fields)))]...); err != nil {
		return err
	}
	for range max(0, n-len(fields)) {
		if err := d.Skip(); err != nil {
			return err
		}
	}
	return nil
}
