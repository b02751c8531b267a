package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of trouble.
type Kind string

// The kinds. Those of the operator and the planned ones are no harm and overlap with all.
const (
	Terminate      Kind = "a node is stopped and started again"
	RollTerminate  Kind = "nodes are stopped and started in turn"
	Kill           Kind = "a node is killed"
	KillAll        Kind = "all nodes are killed at once"
	Pause          Kind = "a node stands still"
	StoreAway      Kind = "the store is down"
	StoreSlow      Kind = "the store is slow"
	StoreLoses     Kind = "answers of the store are lost"
	StorePartial   Kind = "the store turns some nodes away"
	StoreSilent    Kind = "connections to the store go silent"
	StoreOneWay    Kind = "answers of the store do not arrive"
	CallersReset   Kind = "connections of callers are reset"
	CallersSlow    Kind = "connections of callers are slow"
	UpstreamReset  Kind = "connections to an upstream are reset"
	UpstreamSilent Kind = "connections to an upstream go silent"
	UpstreamSlow   Kind = "an upstream answers late"
	UpstreamCrash  Kind = "an upstream crashes"
	UpstreamLeave  Kind = "an upstream leaves and another takes its place"
	PeersReset     Kind = "connections between nodes are reset"
	PeersSilent    Kind = "connections between nodes go silent"
	PeersSlow      Kind = "connections between nodes are slow"
	PeersOneWay    Kind = "what nodes say to some does not arrive"
	StoreForgets   Kind = "the store forgets its history"
	GoodVersion    Kind = "a service moves to a good version"
	BadVersion     Kind = "a service moves to a bad version"
	NewConfig      Kind = "a configuration moves a route"
	ConfigStorm    Kind = "configurations in quick succession"
	ZoneOutIn      Kind = "a zone is taken out and back"
)

var kinds = []Kind{Terminate, RollTerminate, Kill, KillAll, Pause, StoreAway, StoreSlow, StoreLoses, StorePartial, StoreSilent, StoreOneWay,
	CallersReset, CallersSlow, UpstreamReset, UpstreamSilent, UpstreamSlow, UpstreamCrash, UpstreamLeave,
	PeersReset, PeersSilent, PeersSlow, PeersOneWay, StoreForgets, GoodVersion, BadVersion, NewConfig, ConfigStorm, ZoneOutIn}

// Trouble is one thing that happens in a run.
type Trouble struct {
	At, For time.Duration
	Kind    Kind
	// Hosts are numbers of hosts, Zone that of a zone.
	Hosts []int
	Zone  int
}

func (t Trouble) String() string {
	return fmt.Sprintf("%6.2f s for %4.1f s: %s, hosts %v", t.At.Seconds(), t.For.Seconds(), t.Kind, t.Hosts)
}

// Times of a run.
const (
	// calmStart is the time before the first trouble: all nodes are ready by then.
	calmStart = 4 * time.Second
	// meanGap is the mean time between two troubles; each lasts up to longest, so that some overlap.
	meanGap = 3 * time.Second
	longest = 4 * time.Second
	// calmEnd is the time without new troubles at the end, in which service has to be back.
	calmEnd = recoverWithin + 5*time.Second
)

// Plan draws the troubles of a run from its seed.
func Plan(seed uint64, length time.Duration, hosts, zones int) []Trouble {
	r := rand.New(rand.NewPCG(seed, 0x50a6))
	var out []Trouble
	for at := calmStart; at < length-calmEnd; at += time.Duration(r.ExpFloat64() * float64(meanGap)) {
		t := Trouble{At: at, For: longest/4 + time.Duration(r.Int64N(int64(3*longest/4))), Kind: kinds[r.IntN(len(kinds))], Zone: r.IntN(zones)}
		n := 1
		if t.Kind == RollTerminate || t.Kind == StorePartial || t.Kind == StoreSilent || t.Kind == StoreOneWay || r.IntN(4) == 0 {
			n = 1 + r.IntN(max(1, hosts/2))
		}
		t.Hosts = r.Perm(hosts)[:n]
		slices.Sort(t.Hosts)
		out = append(out, t)
	}
	return out
}
