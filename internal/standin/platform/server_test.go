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

// testServer is a server of an empty log for one test.
type testServer struct {
	t    *testing.T
	addr string
}

func startServer(t *testing.T) testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, l, configlog.NewMemory()) }()
	t.Cleanup(func() { stop(); <-ended })
	return testServer{t, l.Addr().String()}
}

func (s testServer) post(path string, body []byte) {
	s.t.Helper()
	resp, err := http.Post("http://"+s.addr+path, "application/json", bytes.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		s.t.Fatalf("POST %s: got status %d, want 2xx", path, resp.StatusCode)
	}
}

// newestPage is a response with the newest records of a topic.
type newestPage struct {
	Items []item `json:"items"`
	End   int64  `json:"end"`
}

func (s testServer) newest() (page newestPage) {
	s.t.Helper()
	resp, err := http.Get("http://" + s.addr + "/api/log-newest?part=0&topic=keyed.test")
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&page); err != nil {
		s.t.Fatal(err)
	}
	return page
}

// Retention drops old records of a keyed topic, but the newest record of each key must stay
// readable, and a deleted key must stay deleted.
func TestNewestRecordsOutliveRetention(t *testing.T) {
	s := startServer(t)
	for _, r := range [][]byte{frame("a", "1"), frame("b", "1"), frame("c", "1"), frame("b", "")} {
		s.post("/api/log-append?part=0&topic=keyed.test", r)
	}
	s.post("/control", []byte(`{"retain":1}`))
	s.post("/api/log-append?part=0&topic=keyed.test", frame("c", "2"))
	page := s.newest()
	if len(page.Items) != 2 || page.Items[0].Key != "a" || page.Items[1].Key != "c" || page.Items[1].Offset != 4 || page.End != 5 {
		t.Errorf("got %+v, want the keys a and c (c at offset 4) and end 5", page)
	}
}

// A copy of a log that has dropped its history must have the newest record of each key all the same, and no later one.
func TestCopyHasNewestRecordsWithoutHistory(t *testing.T) {
	s := startServer(t)
	s.post("/api/log-append?part=0&topic=keyed.test", frame("a", "1"))
	s.post("/api/log-append?part=0&topic=keyed.test", frame("c", "1"))
	s.post("/control", []byte(`{"retain":-1}`))
	s.post("/control/copy", nil)
	s.post("/api/log-append?part=0&topic=keyed.test", frame("c", "2"))
	s.post("/control/restore", nil)
	page := s.newest()
	if len(page.Items) != 2 || page.Items[0].Key != "a" || page.Items[1].Key != "c" || page.Items[1].Offset != 1 || page.End != 2 {
		t.Errorf("got %+v, want the keys a and c (c at offset 1) and end 2", page)
	}
}

// The store drops its history while the operator writes. A record that it acknowledges meanwhile was dropped before it
// counted as the newest of its key, and no node ever saw it.
func TestNewestRecordOutlivesRetentionThatDropsIt(t *testing.T) {
	s := startServer(t)
	s.post("/api/log-append?part=0&topic=keyed.test", append(frame("a", "1"), frame("b", "1")...))
	s.post("/control", []byte(`{"retain":-1}`))
	s.post("/api/log-append?part=0&topic=keyed.test", append(frame("a", "2"), frame("b", "")...))
	s.post("/control", []byte(`{}`))
	page := s.newest()
	if len(page.Items) != 1 || page.Items[0].Key != "a" || page.Items[0].Offset != 2 || page.End != 4 {
		t.Errorf("got %+v, want the key a at offset 2 and end 4", page)
	}
}
