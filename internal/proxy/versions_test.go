package proxy

import (
	"bytes"
	"net/rpc"
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"celerybank/internal/ratelimit"
	"celerybank/internal/verdict"
)

// A child's rank must name the rank of its root to nodes of this version, and be below 0 for those of earlier ones, which
// give their own children the rank -1.
func TestChildRankNamesTheRankOfTheRoot(t *testing.T) {
	for _, c := range []struct{ root, want int }{{-5, 0}, {0, 0}, {1, 1}, {7, 7}, {998, 998}, {5000, 998}} {
		if rank, child := RootRank(ChildRank(c.root)); rank != c.want || !child || ChildRank(c.root) >= -1 {
			t.Errorf("root of rank %d: got child %v of rank %d by rank %d, want a child of rank %d by a rank below -1", c.root, child, rank, ChildRank(c.root), c.want)
		}
	}
	for rank, wantChild := range map[int]bool{-1: true, 0: false, 3: false} {
		if root, child := RootRank(rank); child != wantChild || root != max(rank, 0) {
			t.Errorf("rank %d: got child %v of rank %d, want child %v of rank %d", rank, child, root, wantChild, max(rank, 0))
		}
	}
}

// Nodes of two versions respond to each other during an upgrade of the fleet. An unknown field must be
// ignored, and a missing one must be zero.
func TestResponsesOfOtherVersionsAreRead(t *testing.T) {
	later, err := msgpack.Marshal(struct {
		Response `msgpack:",inline"`
		New      string `msgpack:"new"`
	}{Response{Verdict: verdict.Ran, Status: 200, Body: []byte("x"), Load: Load{Limit: 3}, ProcessingTime: time.Second}, "later"})
	if err != nil {
		t.Fatal(err)
	}
	var res Response
	if err := msgpack.Unmarshal(later, &res); err != nil || res.Status != 200 || string(res.Body) != "x" || res.Load.Limit != 3 || res.ProcessingTime != time.Second {
		t.Errorf("response of a later version: got error %v, response %+v; want the fields that were sent", err, res)
	}
	earlier, err := msgpack.Marshal(struct {
		Verdict verdict.Verdict `msgpack:"v"`
		Status  int             `msgpack:"s"`
	}{verdict.MayHaveRun, 502})
	if err != nil {
		t.Fatal(err)
	}
	res = Response{}
	if err := msgpack.Unmarshal(earlier, &res); err != nil || res.Verdict != verdict.MayHaveRun || res.Status != 502 || res.OwnerTime != 0 {
		t.Errorf("response of an earlier version: got error %v, response %+v; want the fields that were sent and zero for the others", err, res)
	}
}

// earlierRequest is a Request as nodes of the version before workspaces encode and decode it.
type earlierRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 the codec reads the tag

	ID                             uint64
	Entry, Service, Route          string
	Version, Instance, Method, URI string
	Header                         []Field
	Body                           []byte
	Idempotent                     bool
	Key                            string
	Hop                            Hop
	Timeout                        time.Duration
	Host, RequestID, Caller        string
	Rank                           int
	MaxWait                        time.Duration
	WaitToDeadline                 bool
	RateLimit                      ratelimit.Hint
}

// Guards against a field that breaks the calls between nodes of two versions: msgpack decodes no array of another length.
func TestRequestsOfOtherVersionsAreRead(t *testing.T) {
	earlier := earlierRequest{ID: 7, Entry: "e", Service: "stock", Header: []Field{{Name: "a", Value: "b"}}, Body: []byte("x"), Hop: Hop{Depth: 2},
		Timeout: time.Second, Rank: -1, WaitToDeadline: true, RateLimit: 3}
	now := Request{ID: 7, Entry: "e", Service: "stock", Header: []Field{{Name: "a", Value: "b"}}, Body: []byte("x"), Hop: Hop{Depth: 2},
		Timeout: time.Second, Rank: -1, WaitToDeadline: true, RateLimit: 3}
	marshal := func(v any) []byte {
		b, err := msgpack.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	text := marshal(&earlier)
	if same := marshal(&now); !bytes.Equal(text, same) {
		t.Errorf("request without a workspace: got %x, want %x as before", same, text)
	}
	var got Request
	if err := msgpack.Unmarshal(text, &got); err != nil || !reflect.DeepEqual(got, now) {
		t.Errorf("request of the version before: got error %v, request %+v; want %+v", err, got, now)
	}
	now.Workspace = "pulo780"
	text = marshal(&now)
	got = Request{}
	if err := msgpack.Unmarshal(text, &got); err != nil || !reflect.DeepEqual(got, now) {
		t.Errorf("request with a workspace: got error %v, request %+v; want %+v", err, got, now)
	}
	// The version before refuses such a request without running it.
	if err := msgpack.Unmarshal(text, &earlier); err == nil || lostResponse(t.Context(), rpc.ServerError(err.Error())).Verdict != verdict.NotRun {
		t.Errorf("request with a workspace at the version before: got error %v, want one with verdict not-run", err)
	}
	var elements []msgpack.RawMessage
	if err := msgpack.Unmarshal(text, &elements); err != nil {
		t.Fatal(err)
	}
	got = Request{}
	if err := msgpack.Unmarshal(marshal(append(elements, marshal(&earlier))), &got); err != nil || !reflect.DeepEqual(got, now) {
		t.Errorf("request of a later version: got error %v, request %+v; want %+v", err, got, now)
	}
}
