package peer

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"celerybank/internal/events"
)

// Labels is a message whose strings repeat.
type Labels struct {
	Texts []string `msgpack:"t"`
}

func (l *Labels) Repeated(f func(string)) {
	for _, s := range l.Texts {
		f(s)
	}
}

type labelService struct{}

func (labelService) Echo(in *Labels, out *Labels) error { out.Texts = in.Texts; return nil }

// TestDefinedStringsAreRead guards against strings that a peer reads as others, or not at all, when many calls define
// strings on one connection at the same time.
func TestDefinedStringsAreRead(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(events.New("s", "z", nil), nil)
	if err := s.Register("Labels", labelService{}); err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(ctx, l) }()
	var mu sync.Mutex
	sizes := map[int]int{} // of the requests, by number of bytes
	p := NewPool(TCP{}, events.New("p", "z", nil), func(method string, in bool, n int) {
		if method == "Labels.Echo" && !in {
			mu.Lock()
			sizes[n]++
			mu.Unlock()
		}
	})
	defer p.Close()
	addr := l.Addr().String()
	if err := p.Ping(ctx, addr); err != nil { // the reply to the first heartbeat has arrived
		t.Fatal(err)
	}
	var calls sync.WaitGroup
	for g := range 8 {
		calls.Go(func() {
			for n := range 200 {
				in := &Labels{Texts: []string{"Content-Type", fmt.Sprintf("label-%03d", (n*7+g)%150), fmt.Sprintf("unique-%d-%d", g, n), ""}}
				var out Labels
				if err := p.Call(ctx, addr, "Labels.Echo", in, &out); err != nil || fmt.Sprint(out) != fmt.Sprint(*in) {
					t.Errorf("got %q, %v, want %q", out.Texts, err, in.Texts)
					return
				}
			}
		})
	}
	calls.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(sizes) < 2 {
		t.Errorf("requests have %v bytes: no string was defined", sizes)
	}
}

// TestPeersOfEarlierBuilds guards against frames that a peer which does not know indices cannot read, and against a
// definition by which a peer makes this node hold more than maxDefined strings.
func TestPeersOfEarlierBuilds(t *testing.T) {
	var d writeDictionary
	d.enable(0)
	if d.indices.Load() != nil {
		t.Fatal("a peer that reads no indices gets them")
	}
	var frame frameBuffer
	body := &Labels{Texts: []string{"Content-Type", "application/json"}}
	if err := frame.encode(&header{Method: "Proxy.Call"}, body, nil); err != nil {
		t.Fatal(err)
	}
	var h header
	var got Labels
	dec := msgpack.NewDecoder(bytes.NewReader(frame.b[frameHeaderSize:]))
	if err := dec.Decode(&h); err != nil || h.Method != "Proxy.Call" {
		t.Errorf("header %+v, %v", h, err)
	}
	if err := dec.Decode(&got); err != nil || fmt.Sprint(got) != fmt.Sprint(*body) {
		t.Errorf("got %v, %v", got, err)
	}
	d.enable(3) // a peer of a build with fewer common strings
	if n := len(*d.indices.Load()); n != 3 {
		t.Errorf("%d indices for a peer that reads 3", n)
	}

	dict, err := applyDefine(readDictionary(), &Define{Start: firstDefined, Strings: make([]string, maxDefined)})
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range []Define{{Start: len(dict), Strings: []string{"one more"}}, {Start: firstDefined, Strings: []string{"again"}}} {
		if _, err := applyDefine(dict, &m); err == nil {
			t.Errorf("definition %v accepted", m)
		}
	}
	if len(commonStrings) > firstDefined {
		t.Errorf("%d common strings, limit %d", len(commonStrings), firstDefined)
	}
}

// TestDefinitionsAreBounded guards against definitions that go on for strings that do not repeat.
func TestDefinitionsAreBounded(t *testing.T) {
	var d writeDictionary
	d.enable(len(commonStrings))
	defined := 0
	define := func(m *Define) error { defined += len(m.Strings); return nil }
	for n := range 5000 {
		d.learn(&Labels{Texts: []string{fmt.Sprint("unique-", n), fmt.Sprint("repeated-", n%50)}}, define)
		if len(d.candidates) > maxCandidates {
			t.Fatalf("%d candidates", len(d.candidates))
		}
	}
	if defined == 0 || defined > maxDefined || len(*d.indices.Load()) > len(commonStrings)+maxDefined {
		t.Errorf("%d strings defined, limit %d", defined, maxDefined)
	}
}
