package proxy

// Repeated implements peer.Repeater. The ID of a request, its URI and its idempotency key rarely repeat.
func (r *Request) Repeated(f func(string)) {
	for _, s := range [...]string{r.Entry, r.Service, r.Route, r.Version, r.Instance, r.Host, r.Caller} {
		f(s)
	}
	repeatedFields(r.Header, f)
}

// Repeated implements peer.Repeater.
func (r *Response) Repeated(f func(string)) {
	f(string(r.Reason))
	repeatedFields(r.Header, f)
}

func repeatedFields(fields []Field, f func(string)) {
	for i := range fields {
		f(fields[i].Name)
		f(fields[i].Value)
	}
}
