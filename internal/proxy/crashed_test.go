package proxy

import "testing"

// A request that crashes upstreams comes again with the same path, caller and body, and with another trace id. It had another
// fingerprint each time, so that it was never blocked.
func TestFingerprintOfAResentRequest(t *testing.T) {
	first := Request{Service: "orders", Method: "POST", URI: "/orders/9", Caller: "desk", Body: []byte("a"), Header: []Field{{Name: "X-B3-Traceid", Value: "1"}}}
	for name, c := range map[string]struct {
		change func(*Request)
		same   bool
	}{
		"another trace id":              {func(r *Request) { r.Header = []Field{{Name: "X-B3-Traceid", Value: "2"}} }, true},
		"another attempt, node and age": {func(r *Request) { r.RequestID, r.ID, r.Entry, r.Timeout = "2", 2, "10.0.0.2:7000", 5 }, true},
		"no fields":                     {func(r *Request) { r.Header = nil }, true},
		"another caller":                {func(r *Request) { r.Caller = "web" }, false},
		"another body":                  {func(r *Request) { r.Body = []byte("b") }, false},
		"another path":                  {func(r *Request) { r.URI = "/orders/10" }, false},
		"another method":                {func(r *Request) { r.Method = "PUT" }, false},
		"another service":               {func(r *Request) { r.Service = "stock" }, false},
	} {
		resent := first
		c.change(&resent)
		if got := fingerprint(&resent) == fingerprint(&first); got != c.same {
			t.Errorf("%s: same fingerprint %v, want %v", name, got, c.same)
		}
	}
	unknown, resent := first, first
	unknown.Caller, resent.Caller = "", ""
	resent.Header = []Field{{Name: "Accept", Value: "text/plain"}}
	if fingerprint(&unknown) == fingerprint(&resent) {
		t.Error("requests of unknown callers with other fields have the same fingerprint")
	}
	if resent.Header = append([]Field{{Name: "Traceparent", Value: "3"}}, first.Header...); fingerprint(&unknown) != fingerprint(&resent) {
		t.Error("a field that may differ changes the fingerprint of an unknown caller's request")
	}
}
