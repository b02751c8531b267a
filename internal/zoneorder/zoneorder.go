// Package zoneorder implements operators' orders that take availability zones out of service
// and back in without the log: an order spreads as a gossip fact, takes effect
// immediately and is recorded in the log as soon as possible.
package zoneorder

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
	"celerybank/internal/events"
	"celerybank/internal/gossip"
	"celerybank/internal/inventory"
	"celerybank/internal/mesh"
)

// FactKind is the kind of the facts that carry orders; their key is the zone.
const FactKind = "zone"

const (
	// orderExpiry is how long an unrecorded order is kept as a fact. It must exceed any
	// outage of the log.
	orderExpiry = 7 * 24 * time.Hour
	// recordInterval is the time between attempts to record orders.
	recordInterval = time.Second
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
)

// errUnknownZone reports a zone that is not in the inventory.
var errUnknownZone = errors.New("unknown availability zone")

// Members is the membership list and the facts that spread among the members.
type Members interface {
	Self() gossip.Member
	Alive() []gossip.Member
	// PublishFact spreads a fact. It returns when the fact outlives this process, as far as that needs no reply.
	PublishFact(gossip.Fact)
}

// Store holds the state recorded in the log.
type Store interface {
	State() *mesh.State
}

// Router routes around zones that are out. ZoneOrder returns the order in effect for a
// zone: the newer of the one in the log and the one from SetZones.
type Router interface {
	SetZones(map[string]mesh.ZoneOrder)
	ZoneOrder(zone string) mesh.ZoneOrder
}

// Request is an operator's request to take a zone out or in.
type Request struct {
	Zone string `json:"zone"`
	Out  bool   `json:"out"`
}

// Receipt is the result of a request.
type Receipt struct {
	Order mesh.ZoneOrder `json:"order"`
	// Unserved lists the services whose upstreams are all in zones that are out.
	Unserved []string `json:"unserved,omitempty"`
}

// Registry holds the orders that this node has received as facts, which may not be recorded
// in the log yet.
type Registry struct {
	self    gossip.Member
	members Members
	store   Store
	router  Router
	log     configlog.Log
	events  *events.Recorder

	mu       sync.Mutex
	orders   map[string]mesh.ZoneOrder
	reported map[string]bool
	pending  map[string]configlog.Record
	subs     []func()
}

// New returns a registry without orders.
func New(members Members, store Store, router Router, log configlog.Log, ev *events.Recorder) *Registry {
	return &Registry{self: members.Self(), members: members, store: store, router: router, log: log, events: ev,
		orders: map[string]mesh.ZoneOrder{}, reported: map[string]bool{}, pending: map[string]configlog.Record{}}
}

// Subscribe registers f, which is called after each order received as a fact. It must not
// be called concurrently with Apply.
func (r *Registry) Subscribe(f func()) { r.subs = append(r.subs, f) }

// Issue issues an order and spreads it. If the zone is already in the requested state, the
// order in effect is returned. An unknown zone is an error.
func (r *Registry) Issue(zone string, out bool) (Receipt, error) {
	st := r.store.State()
	if !slices.ContainsFunc(st.Inventory.Zones, func(z inventory.Zone) bool { return z.Name == zone }) {
		return Receipt{}, errors.Wrap(errUnknownZone, zone)
	}
	order := r.router.ZoneOrder(zone)
	if order.Out != out {
		order = mesh.ZoneOrder{Zone: zone, Out: out, Order: order.Order + 1, Version: st.ZonesOut[zone].Version}
		body, err := json.Marshal(order)
		if err != nil {
			return Receipt{}, err
		}
		r.members.PublishFact(gossip.Fact{Kind: FactKind, Key: zone, Seq: sequence(order), Body: body, Expires: time.Now().Add(orderExpiry)})
	}
	receipt := Receipt{Order: order}
	if out {
		receipt.Unserved = r.unserved()
	}
	for _, service := range receipt.Unserved {
		r.events.Emit(events.ServiceWithoutZone, events.Fields{"service": service, "zone": zone})
	}
	return receipt, nil
}

// sequence returns the Seq of the fact that carries z. Of two orders with the same number,
// issued on two sides of a partition, the one that takes the zone out has the higher Seq.
func sequence(z mesh.ZoneOrder) int64 {
	if z.Out {
		return z.Order*2 + 1
	}
	return z.Order * 2
}

// unserved returns the services whose upstreams are all in zones that are out, sorted.
func (r *Registry) unserved() []string {
	served := map[string]bool{}
	for _, m := range r.members.Alive() {
		if s := m.Upstream.Service; s != "" {
			served[s] = served[s] || !r.router.ZoneOrder(m.Zone).Out
		}
	}
	maps.DeleteFunc(served, func(_ string, ok bool) bool { return ok })
	return slices.Sorted(maps.Keys(served))
}

// Apply applies a fact if it is an order. It does not call the members, under whose lock
// it runs.
func (r *Registry) Apply(f gossip.Fact) {
	var order mesh.ZoneOrder
	if f.Kind != FactKind || json.Unmarshal(f.Body, &order) != nil {
		return
	}
	r.mu.Lock()
	r.orders = maps.Clone(r.orders)
	r.orders[order.Zone] = order
	r.router.SetZones(r.orders)
	r.mu.Unlock()
	for _, f := range r.subs {
		f()
	}
	r.Report()
}

// Report emits an event for each zone that has been taken out or in on this node since the
// last call.
func (r *Registry) Report() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, z := range r.store.State().Inventory.Zones {
		order := r.router.ZoneOrder(z.Name)
		if r.reported[z.Name] == order.Out {
			continue
		}
		r.reported[z.Name] = order.Out
		code := events.ZoneIn
		if order.Out {
			code = events.ZoneOut
		}
		r.events.Emit(code, events.Fields{"zone": z.Name, "order": order.Order})
	}
}

// Run records orders in the log every recordInterval until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	tick := time.NewTicker(recordInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		for _, order := range r.unrecorded() {
			if r.isRecorder(order.Zone) {
				r.record(ctx, order)
			}
		}
	}
}

// unrecorded returns the orders that are still in effect, without those that a newer record
// in the log replaced.
func (r *Registry) unrecorded() []mesh.ZoneOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []mesh.ZoneOrder
	for zone, order := range r.orders {
		if r.router.ZoneOrder(zone) == order {
			out = append(out, order)
		}
	}
	return out
}

// isRecorder reports whether this node records the orders of zone: of the live nodes the
// one with the highest rendezvous hash. Two recorders at the same time do no harm.
func (r *Registry) isRecorder(zone string) bool {
	rank := func(addr string) uint64 { return xxhash.Sum64String("zone/" + zone + "/" + addr) }
	mine := rank(r.self.Addr)
	for _, m := range r.members.Alive() {
		if rank(m.Addr) > mine {
			return false
		}
	}
	return true
}

// record appends order to the log. A failed append is repeated with the same record at the
// next interval, unless the zone's record in the log has changed.
func (r *Registry) record(ctx context.Context, order mesh.ZoneOrder) {
	st, subject := r.store.State(), mesh.ZoneSubject(order.Zone)
	if order.Version < st.ZonesOut[order.Zone].Version {
		return
	}
	rec, ok := r.pending[order.Zone]
	if !ok || rec.Prev != st.Current[subject] {
		var err error
		if rec, err = configlog.NewRecord(mesh.KindZone, subject, st.Current[subject], r.self.Name, order); err != nil {
			return
		}
		r.pending[order.Zone] = rec
	}
	data, err := json.Marshal(rec)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := r.log.Append(ctx, configlog.MeshStream, data); err != nil {
		return
	}
	delete(r.pending, order.Zone)
	r.events.Emit(events.ZoneOrderRecorded, events.Fields{"zone": order.Zone, "out": order.Out, "order": order.Order})
}
