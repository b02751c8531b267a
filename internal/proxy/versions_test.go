package proxy

import (
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"celerybank/internal/verdict"
)

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

// Nodes of the versions before and after the workspaces read each other's requests. The codec by itself refuses an array with one
// element more or less than the struct has fields.
func TestRequestsOfOtherVersionsAreRead(t *testing.T) {
	full := Request{ID: 1, Entry: "e", Service: "s", Route: "r", Version: "v", Instance: "i", Method: "m", URI: "u", Header: []Field{{Name: "n", Value: "v"}}, Body: []byte("b"),
		Idempotent: true, Key: "k", Timeout: 2, Host: "h", RequestID: "q", Caller: "c", Rank: 3, MaxWait: 4, WaitToDeadline: true, Workspace: "w"}
	elements := func(r Request) (out []msgpack.RawMessage) {
		text, err := msgpack.Marshal(&r)
		if err != nil {
			t.Fatal(err)
		}
		if err := msgpack.Unmarshal(text, &out); err != nil {
			t.Fatal(err)
		}
		return out
	}
	without := full
	without.Workspace = ""
	now, before := elements(full), elements(without)
	if fields := reflect.TypeFor[Request]().NumField() - 1; len(now) != fields || len(before) != fields-1 {
		t.Fatalf("%d and %d elements, want %d, and one less without a workspace", len(now), len(before), fields)
	}
	for name, c := range map[string]struct {
		sent []msgpack.RawMessage
		want Request
	}{"this version": {now, full}, "the one before": {before, without}, "a later one": {append(now[:len(now):len(now)], msgpack.RawMessage{0xc0}), full}} {
		text, err := msgpack.Marshal(c.sent)
		if err != nil {
			t.Fatal(err)
		}
		got := Request{Workspace: "old"}
		if err := msgpack.Unmarshal(text, &got); err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %+v, error %v, want %+v", name, got, err, c.want)
		}
	}
}
