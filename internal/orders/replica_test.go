package orders

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/routes"
)

// testDecoder decodes the keys "config" (the first line of the value is the version), "out/ZONE" and "move/SERVICE".
type testDecoder struct{}

func (testDecoder) Decode(r Record) (Order, error) {
	kind, name, _ := strings.Cut(r.Key, "/")
	switch kind {
	case "config":
		text, more, _ := strings.Cut(string(r.Value), "\n")
		v, err := strconv.ParseUint(text, 10, 64)
		c := &routes.Config{Version: v}
		if more == "workspaces" {
			c.Workspaces = []routes.Workspace{}
		}
		return Order{Config: c}, err
	case "out":
		return Order{ZoneOut: name}, nil
	case "move":
		return Order{Rollout: &Rollout{Service: name, Version: string(r.Value), Duration: time.Second, Accepted: r.Offset}}, nil
	}
	return Order{}, errors.New("unknown key")
}

func record(key, value string, offset int64) Record {
	return Record{Key: key, Value: []byte(value), Offset: offset}
}

func TestNewestRecordOfEachKeyIsInForce(t *testing.T) {
	b := NewReplica(testDecoder{}, nil)
	b.Apply(Batch{Next: 4, Records: []Record{record("config", "3", 0), record("out/a", "{}", 1), record("move/s", "v2", 2), record("config", "5", 3)}}, "test")
	v := b.View()
	if v.Table.Version != 5 || !v.ZonesOut["a"] || v.Rollouts["s"].Version != "v2" || v.Next != 4 {
		t.Fatalf("got view %+v, want version 5, zone a out, service s to v2, position 4", v)
	}
	if b.Apply(Batch{Next: 3, Records: []Record{record("config", "9", 2)}}, "test") || b.View().Table.Version != 5 {
		t.Error("an older batch was applied")
	}
	b.Apply(Batch{Next: 5, Records: []Record{record("out/a", "", 4)}}, "test")
	if b.View().ZonesOut["a"] || v.ZonesOut["a"] == false {
		t.Error("zone a is still out, or the previous view was modified")
	}
}

func TestOlderOrMalformedConfigurationChangesNothing(t *testing.T) {
	b := NewReplica(testDecoder{}, nil)
	b.Apply(Batch{Next: 1, Records: []Record{record("config", "7", 0)}}, "test")
	b.Apply(Batch{Next: 3, Records: []Record{record("config", "6", 1)}}, "test")
	b.Apply(Batch{Next: 4, Records: []Record{record("config", "bytes", 3)}}, "test")
	if v := b.View(); v.Table.Version != 7 || v.Next != 4 {
		t.Errorf("got view %+v, want version 7 at position 4", v)
	}
}

// The store truncates its log, so that withdrawals are missing from it: a full batch must withdraw
// the orders that it lacks, also at peers that pull from a position before it.
func TestFullBatchWithdrawsMissingOrders(t *testing.T) {
	a, b := NewReplica(testDecoder{}, nil), NewReplica(testDecoder{}, nil)
	first := Batch{Next: 3, Records: []Record{record("config", "1", 0), record("out/a", "{}", 1), record("move/a", "v2", 2)}}
	a.Apply(first, "store")
	b.Apply(first, "store")
	a.Apply(Batch{Full: true, Next: 9, Records: []Record{record("config", "1", 0), record("move/a", "v2", 2)}}, "store")
	if v := a.View(); v.ZonesOut["a"] || v.Rollouts["a"].Version != "v2" {
		t.Fatalf("after the full batch: got view %+v, want zone a in and service a to v2", v)
	}
	b.Apply(a.After(b.View().Next), "peer")
	if v := b.View(); v.ZonesOut["a"] || v.Rollouts["a"].Version != "v2" || v.Next != 9 {
		t.Errorf("at the peer: got view %+v, want zone a in, service a to v2, position 9", v)
	}
}

// A node is cut off while a zone is taken out and put in again, and learns of both at once: it must learn that the zone
// was put in, since its upstream may have turned cold meanwhile.
func TestZoneThatWasOutUnnoticedIsReportedAsIn(t *testing.T) {
	up, cut := NewReplica(testDecoder{}, nil), NewReplica(testDecoder{}, nil)
	first := Batch{Next: 1, Records: []Record{record("config", "1", 0)}}
	up.Apply(first, "store")
	cut.Apply(first, "store")
	up.Apply(Batch{Next: 2, Records: []Record{record("out/a", "{}", 1)}}, "store")
	up.Apply(Batch{Next: 3, Records: []Record{record("out/a", "", 2)}}, "store")
	cut.Apply(up.After(cut.View().Next), "peer")
	for name, r := range map[string]*Replica{"in touch": up, "cut off": cut} {
		if v := r.View(); v.ZonesOut["a"] || v.ZonesIn["a"] != (Position{Offset: 2}) {
			t.Errorf("%s: zone out %v, put in at %v, want in since offset 2", name, v.ZonesOut["a"], v.ZonesIn["a"])
		}
	}
}
