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

// fakeSource is a StateSource whose state the test sets.
type fakeSource struct {
	mu      sync.Mutex
	state   *mesh.State
	changed chan struct{}
}

func (f *fakeSource) State() *mesh.State { f.mu.Lock(); defer f.mu.Unlock(); return f.state }

func (f *fakeSource) Changed() <-chan struct{} { f.mu.Lock(); defer f.mu.Unlock(); return f.changed }

func (f *fakeSource) set(st *mesh.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = st
	close(f.changed)
	f.changed = make(chan struct{})
}

// testNode is one node of a testCluster: its holder, claimant and service.
type testNode struct {
	*fakeSource
	addr     string
	cluster  *testCluster
	holder   *Holder
	claimant *Claimant
	service  *Service
}

var errUnreachable = errors.New("node is down")

// Call implements PeerClient. It calls the service of the other node directly, or fails if
// the node is stopped.
func (n *testNode) Call(ctx context.Context, addr, method string, args, reply any) error {
	if f := n.cluster.messageHook(); f != nil {
		if err := f(ctx, n.addr, addr, method); err != nil {
			return err
		}
	}
	to := n.cluster.node(addr)
	if to == nil {
		return errUnreachable
	}
	switch a := args.(type) {
	case *GrantRequest:
		return to.service.Grant(a, reply.(*GrantReply))
	case *EndNotice:
		return to.service.End(a, reply.(*Empty))
	case *CopyRequest:
		return to.service.Copy(a, reply.(*CopyReply))
	case *OutcomeQuery:
		return to.service.Ask(a, reply.(*OutcomeReply))
	case *ActiveQuery:
		return to.service.Active(a, reply.(*ActiveReply))
	}
	return errors.New(method)
}

// testCluster is a set of nodes that compete for one key, without a network.
type testCluster struct {
	t        testing.TB
	disabled disabledRules
	limit    int64
	log      *mesh.State
	mu       sync.Mutex // guards nodes and onMessage
	nodes    map[string]*testNode
	// onMessage, if set, runs before each message and may delay or fail it.
	onMessage func(ctx context.Context, from, to, method string) error
}

const testKey = "k"

var testGroup = KeyOf("orders", testKey).Group()

// newTestCluster starts nodes and assigns the seats of the key's group to the first three.
func newTestCluster(t testing.TB, r disabledRules, nodes ...string) *testCluster {
	tc := &testCluster{t: t, disabled: r, limit: maxHeldClaims, log: mesh.Empty(), nodes: map[string]*testNode{}}
	for _, n := range nodes {
		tc.start(n, tc.log)
	}
	tc.append(mesh.SeatChange{Nodes: nodes[:min(3, len(nodes))], Items: []mesh.SeatItem{{Group: testGroup, Op: mesh.SeatsCreate, Nodes: []int{0, 1, 2}[:min(3, len(nodes))]}}})
	for _, n := range nodes {
		tc.syncNode(n)
	}
	return tc
}

// append applies a record to the log's state; a node applies it in syncNode.
func (tc *testCluster) append(c mesh.SeatChange) {
	rec, err := configlog.NewRecord(mesh.KindSeats, mesh.SubjectSeats, 0, "test", c)
	if err != nil {
		tc.t.Fatal(err)
	}
	data, _ := json.Marshal(rec)
	next, _, err := tc.log.Apply(configlog.Entry{Offset: tc.log.Version + 1, Data: data})
	if err != nil {
		tc.t.Fatal(err)
	}
	tc.log = next
}

func (tc *testCluster) group() mesh.Group { return tc.log.Groups[testGroup] }

// replace appends a record that replaces the holder from by to.
func (tc *testCluster) replace(from, to string) {
	for i, s := range tc.group().Seats {
		if s == from {
			tc.append(mesh.SeatChange{Nodes: []string{to}, Items: []mesh.SeatItem{{Group: testGroup, Prev: tc.group().Record, Op: mesh.SeatReplace, Nodes: []int{0}, Seat: i}}})
		}
	}
}

// start starts a process at addr with the state st, in place of any previous one.
func (tc *testCluster) start(addr string, st *mesh.State) {
	n := &testNode{fakeSource: &fakeSource{state: st, changed: make(chan struct{})}, addr: addr, cluster: tc}
	n.holder = newHolder(addr, n, n, nil, tc.limit, tc.disabled)
	n.claimant = NewClaimant(n.holder, n, n)
	n.service = NewService(context.Background(), n.holder, n.claimant)
	tc.mu.Lock()
	tc.nodes[addr] = n
	tc.mu.Unlock()
	n.holder.start()
}

func (tc *testCluster) node(addr string) *testNode {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return tc.nodes[addr]
}

func (tc *testCluster) messageHook() func(ctx context.Context, from, to, method string) error {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return tc.onMessage
}

// intercept sets onMessage; nil removes it.
func (tc *testCluster) intercept(f func(ctx context.Context, from, to, method string) error) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.onMessage = f
}

func (tc *testCluster) kill(addr string) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	delete(tc.nodes, addr)
}

// restart replaces the process at addr by one that starts from the same state.
func (tc *testCluster) restart(addr string) { tc.start(addr, tc.nodes[addr].State()) }

func (tc *testCluster) syncNode(addr string) {
	tc.nodes[addr].set(tc.log)
	tc.nodes[addr].holder.sync()
}

// copyFrom runs the copy tasks of addr for one other holder: copies or confirmations.
func (tc *testCluster) copyFrom(addr, from string) {
	h := tc.nodes[addr].holder
	for _, task := range h.table.copyTasks()[from] {
		h.copyBatch(context.Background(), from, []copyTask{task})
	}
}

// confirmAndActivate confirms the copies of addr and activates its seat if possible. It
// reports whether the seat is active.
func (tc *testCluster) confirmAndActivate(addr string) bool {
	h := tc.nodes[addr].holder
	h.table.activate()
	for from, tasks := range h.table.copyTasks() {
		for _, task := range tasks {
			if task.confirm {
				h.copyBatch(context.Background(), from, []copyTask{task})
			}
		}
	}
	h.table.activate()
	return len(h.table.activeGroups([]GroupRecord{{testGroup, tc.nodes[addr].State().Groups[testGroup].Record}})) > 0
}

// steppedClaimant is a claimant whose messages the test sends one by one.
type steppedClaimant struct {
	cluster *testCluster
	attempt *attempt
	ran     bool
}

func (tc *testCluster) newClaimant(record int64) *steppedClaimant {
	return &steppedClaimant{tc, &attempt{id: newID(), record: record, holders: []string{"", "", ""}, started: time.Now()}, false}
}

// requestGrant sends one grant request to addr.
func (c *steppedClaimant) requestGrant(addr string) Status {
	out := c.cluster.nodes[addr].holder.table.grant(&GrantRequest{Record: c.attempt.record, Key: KeyOf("orders", testKey), Claim: c.attempt.id, Owner: "x"})
	c.attempt.replies = append(c.attempt.replies, holderReply{addr, out})
	return out.Status
}

// runIfGranted runs the request if the claimant has a majority of grants. It reports
// whether the request has run.
func (c *steppedClaimant) runIfGranted() bool {
	granted := map[string]bool{}
	for _, r := range c.attempt.replies {
		if r.Status == Granted {
			granted[r.addr] = true
		}
	}
	c.ran = c.ran || (len(granted) >= 2 && c.attempt.granted(c.cluster.disabled))
	return c.ran
}

// runCounter counts the runs of the key.
type runCounter struct {
	mu   sync.Mutex
	runs int
}

// post handles a keyed request as the owner does. A run takes the time work.
func (tc *testCluster) post(ctx context.Context, addr string, counter *runCounter, body string, work time.Duration) *proxy.Response {
	c, refused := tc.nodes[addr].claimant.Claim(ctx, "orders", testKey, uint64(len(body)))
	if refused != nil {
		return refused.Response(ctx)
	}
	counter.mu.Lock()
	counter.runs++
	counter.mu.Unlock()
	time.Sleep(work)
	res := &proxy.Response{Verdict: verdict.Ran, Status: 200, Body: []byte(fmt.Sprintf("%s for %s", addr, body))}
	c.Finish(res)
	return res
}

// startRecovery runs the recovery of all nodes until the returned function is called.
func (tc *testCluster) startRecovery() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		runEvery(ctx, recoverInterval, func() {
			tc.mu.Lock()
			all := slices.Collect(maps.Values(tc.nodes))
			tc.mu.Unlock()
			for _, s := range all {
				s.holder.sync()
				s.holder.recover(ctx)
			}
		})
	})
	return func() { cancel(); wg.Wait() }
}
