package platform

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"net/http"
	"testing"

	"celerybank/internal/configlog"
)

// frame returns a keyed record as the body of an append request carries it. An empty value
// deletes the key.
func frame(key, value string) []byte {
	data := append(append([]byte{byte(len(key))}, key...), value...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
}

// Retention drops old records of a keyed topic, but the newest record of each key must stay
// readable, and a deleted key must stay deleted.
func TestNewestRecordsOutliveRetention(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, l, configlog.NewMemory()) }()
	defer func() { stop(); <-ended }()
	post := func(path string, body []byte) {
		t.Helper()
		resp, err := http.Post("http://"+l.Addr().String()+path, "application/json", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode/100 != 2 {
			t.Fatalf("POST %s: got status %d, want 2xx", path, resp.StatusCode)
		}
	}
	for _, r := range [][]byte{frame("a", "1"), frame("b", "1"), frame("c", "1"), frame("b", "")} {
		post("/api/log-append?part=0&topic=keyed.test", r)
	}
	post("/control", []byte(`{"retain":1}`))
	post("/api/log-append?part=0&topic=keyed.test", frame("c", "2"))
	resp, err := http.Get("http://" + l.Addr().String() + "/api/log-newest?part=0&topic=keyed.test")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var page struct {
		Items []item `json:"items"`
		End   int64  `json:"end"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&page); err != nil {
		t.Fatal(err)
	}
	if len(page.Items) != 2 || page.Items[0].Key != "a" || page.Items[1].Key != "c" || page.Items[1].Offset != 4 || page.End != 5 {
		t.Errorf("got %+v, want the keys a and c (c at offset 4) and end 5", page)
	}
}
