package claims

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
	"celerybank/internal/mesh"
	"celerybank/internal/proxy"
	"celerybank/internal/verdict"
)

// knowledge is an Agreed whose node learns of records when the test says so.
type knowledge struct {
	mu      sync.Mutex
	state   *mesh.State
	changed chan struct{}
}

func (k *knowledge) State() *mesh.State { k.mu.Lock(); defer k.mu.Unlock(); return k.state }

func (k *knowledge) Changed() <-chan struct{} { k.mu.Lock(); defer k.mu.Unlock(); return k.changed }

func (k *knowledge) set(st *mesh.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = st
	close(k.changed)
	k.changed = make(chan struct{})
}

// station is one node of a bench: its holder and its claimant.
type station struct {
	*knowledge
	addr     string
	bench    *bench
	holder   *Holder
	claimant *Claimant
	service  *Service
}

var errDown = errors.New("down")

// Call implements Caller: it hands the message to the other node, if there is one.
func (s *station) Call(ctx context.Context, addr, method string, args, reply any) error {
	if f := s.bench.hook(); f != nil {
		if err := f(ctx, s.addr, addr, method); err != nil {
			return err
		}
	}
	to := s.bench.at(addr)
	if to == nil {
		return errDown
	}
	switch a := args.(type) {
	case *Grant:
		return to.service.Grant(a, reply.(*GrantReply))
	case *End:
		return to.service.End(a, reply.(*Empty))
	case *Copy:
		return to.service.Copy(a, reply.(*CopyReply))
	case *Ask:
		return to.service.Ask(a, reply.(*AskReply))
	case *ActiveQuery:
		return to.service.Active(a, reply.(*ActiveReply))
	}
	return errors.New(method)
}

// bench is a group of nodes around one key, without a network.
type bench struct {
	t        testing.TB
	rules    rules
	limit    int64
	log      *mesh.State
	mu       sync.Mutex // guards stations against background
	stations map[string]*station
	// before, when set, runs before each message and may delay or lose it.
	before func(ctx context.Context, from, to, method string) error
}

const benchKey = "k"

var benchGroup = KeyOf("orders", benchKey).Group()

// newBench starts nodes and founds the key's group with the first three.
func newBench(t testing.TB, r rules, nodes ...string) *bench {
	b := &bench{t: t, rules: r, limit: maxHeld, log: mesh.Empty(), stations: map[string]*station{}}
	for _, n := range nodes {
		b.start(n, b.log)
	}
	b.append(mesh.SeatChange{Nodes: nodes[:min(3, len(nodes))], Items: []mesh.SeatItem{{Group: benchGroup, Op: mesh.SeatsCreate, Nodes: []int{0, 1, 2}[:min(3, len(nodes))]}}})
	for _, n := range nodes {
		b.learn(n)
	}
	return b
}

// append folds a record into the log; nodes know it after learn.
func (b *bench) append(c mesh.SeatChange) {
	rec, err := configlog.NewRecord(mesh.KindSeats, mesh.SubjectSeats, 0, "test", c)
	if err != nil {
		b.t.Fatal(err)
	}
	data, _ := json.Marshal(rec)
	next, _, err := b.log.Apply(configlog.Entry{Offset: b.log.Version + 1, Data: data})
	if err != nil {
		b.t.Fatal(err)
	}
	b.log = next
}

func (b *bench) group() mesh.Group { return b.log.Groups[benchGroup] }

// replace appends a replacement of from by to.
func (b *bench) replace(from, to string) {
	for i, s := range b.group().Seats {
		if s == from {
			b.append(mesh.SeatChange{Nodes: []string{to}, Items: []mesh.SeatItem{{Group: benchGroup, Prev: b.group().Record, Op: mesh.SeatReplace, Nodes: []int{0}, Seat: i}}})
		}
	}
}

// start starts a process that knows st, in place of the one at addr.
func (b *bench) start(addr string, st *mesh.State) {
	s := &station{knowledge: &knowledge{state: st, changed: make(chan struct{})}, addr: addr, bench: b}
	s.holder = newHolder(addr, s, s, nil, b.limit, b.rules)
	s.claimant = NewClaimant(s.holder, s, s)
	s.service = NewService(context.Background(), s.holder, s.claimant)
	b.mu.Lock()
	b.stations[addr] = s
	b.mu.Unlock()
	s.holder.begin()
}

func (b *bench) at(addr string) *station {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stations[addr]
}

func (b *bench) hook() func(ctx context.Context, from, to, method string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.before
}

// intercept sets before, nil for none.
func (b *bench) intercept(f func(ctx context.Context, from, to, method string) error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.before = f
}

func (b *bench) kill(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.stations, addr)
}

// restart replaces the process at addr by one that remembers the newest record.
func (b *bench) restart(addr string) { b.start(addr, b.stations[addr].State()) }

func (b *bench) learn(addr string) {
	b.stations[addr].set(b.log)
	b.stations[addr].holder.sync()
}

// copies lets addr get from another holder what it may want now, claims or confirmation.
func (b *bench) copies(addr, from string) {
	h := b.stations[addr].holder
	for _, w := range h.table.wants()[from] {
		h.copyPart(context.Background(), from, []want{w})
	}
}

// activates lets addr confirm its copies and turn active if it may; it reports whether it is.
func (b *bench) activates(addr string) bool {
	h := b.stations[addr].holder
	h.table.activate()
	for from, wants := range h.table.wants() {
		for _, w := range wants {
			if w.confirm {
				h.copyPart(context.Background(), from, []want{w})
			}
		}
	}
	h.table.activate()
	return len(h.table.activeOf([]GroupRecord{{benchGroup, b.stations[addr].State().Groups[benchGroup].Record}})) > 0
}

// stepper is a claimant whose messages the test sends one by one.
type stepper struct {
	bench *bench
	try   *try
	ran   bool
}

func (b *bench) claimant(record int64) *stepper {
	return &stepper{b, &try{id: newID(), record: record, holders: []string{"", "", ""}, began: time.Now()}, false}
}

// asks sends one grant message.
func (c *stepper) asks(addr string) Status {
	out := c.bench.stations[addr].holder.table.grant(&Grant{Record: c.try.record, Key: KeyOf("orders", benchKey), Claim: c.try.id, Owner: "x"})
	c.try.replies = append(c.try.replies, reply{addr, out})
	return out.Status
}

// runs lets the claimant run the request if it won.
func (c *stepper) runs() bool {
	granted := map[string]bool{}
	for _, r := range c.try.replies {
		if r.Status == Granted {
			granted[r.addr] = true
		}
	}
	c.ran = c.ran || (len(granted) >= 2 && c.try.won(c.bench.rules))
	return c.ran
}

// upstreams count runs, as the owner's send does.
type upstreams struct {
	mu   sync.Mutex
	runs int
}

// post does what the owner does with a keyed request, work being the time of the run.
func (b *bench) post(ctx context.Context, addr string, u *upstreams, body string, work time.Duration) *proxy.Answer {
	c, refused := b.stations[addr].claimant.Claim(ctx, "orders", benchKey, uint64(len(body)))
	if refused != nil {
		return refused.Answer(ctx)
	}
	u.mu.Lock()
	u.runs++
	u.mu.Unlock()
	time.Sleep(work)
	a := &proxy.Answer{Verdict: verdict.Ran, Status: 200, Body: []byte(fmt.Sprintf("%s for %s", addr, body))}
	c.Finish(a)
	return a
}

// background runs the recovery of all nodes until the returned function is called.
func (b *bench) background() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		every(ctx, recoverInterval, func() {
			b.mu.Lock()
			all := slices.Collect(maps.Values(b.stations))
			b.mu.Unlock()
			for _, s := range all {
				s.holder.sync()
				s.holder.recover(ctx)
			}
		})
	})
	return func() { cancel(); wg.Wait() }
}
