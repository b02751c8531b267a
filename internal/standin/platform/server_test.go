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

// record is a keyed record as a call to append carries it; an empty value drops the key.
func record(key, value string) []byte {
	data := append(append([]byte{byte(len(key))}, key...), value...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
}

// The store forgets its history and keeps the newest record of each key.
func TestNewestOutlivesTheHistory(t *testing.T) {
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
			t.Fatalf("%s: %d", path, resp.StatusCode)
		}
	}
	for _, r := range [][]byte{record("a", "1"), record("b", "1"), record("c", "1"), record("b", "")} {
		post("/api/log-append?part=0&topic=keyed.test", r)
	}
	post("/control", []byte(`{"retain":1}`))
	post("/api/log-append?part=0&topic=keyed.test", record("c", "2"))
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
		t.Errorf("%+v", page)
	}
}
