package proxy

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"celerybank/internal/verdict"
)

// Nodes of two versions answer each other while a fleet is replaced: a field that one does not
// know is passed over, one that the other does not send is zero.
func TestAnswersOfOtherVersionsAreRead(t *testing.T) {
	later, err := msgpack.Marshal(struct {
		Answer `msgpack:",inline"`
		New    string `msgpack:"new"`
	}{Answer{Verdict: verdict.Ran, Status: 200, Body: []byte("x"), Load: Load{Limit: 3}, Took: time.Second}, "later"})
	if err != nil {
		t.Fatal(err)
	}
	var a Answer
	if err := msgpack.Unmarshal(later, &a); err != nil || a.Status != 200 || string(a.Body) != "x" || a.Load.Limit != 3 || a.Took != time.Second {
		t.Errorf("%v, %+v", err, a)
	}
	earlier, err := msgpack.Marshal(struct {
		Verdict verdict.Verdict `msgpack:"v"`
		Status  int             `msgpack:"s"`
	}{verdict.MayHaveRun, 502})
	if err != nil {
		t.Fatal(err)
	}
	a = Answer{}
	if err := msgpack.Unmarshal(earlier, &a); err != nil || a.Verdict != verdict.MayHaveRun || a.Status != 502 || a.Held != 0 {
		t.Errorf("%v, %+v", err, a)
	}
}
