package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Some are ordinary operations: planned stops and orders of the operator. They
// cause no disruption by themselves and overlap with faults of any kind.
const (
	GracefulRestart   Kind = "a node is stopped and started again"
	RollingRestart    Kind = "nodes are stopped and started in turn"
	Kill              Kind = "a node is killed"
	KillAll           Kind = "all nodes are killed at once"
	Suspend           Kind = "a node is suspended"
	StoreDown         Kind = "the store is down"
	StoreSlow         Kind = "the store is slow"
	StoreLosesReplies Kind = "responses of the store are lost"
	StoreRefuses      Kind = "the store refuses connections of some nodes"
	StoreBlackhole    Kind = "connections to the store are blackholed"
	StoreOneWay       Kind = "requests to the store do not arrive"
	CallersReset      Kind = "connections of callers are reset"
	CallersSlow       Kind = "connections of callers are slow"
	UpstreamReset     Kind = "connections to an upstream are reset"
	UpstreamBlackhole Kind = "connections to an upstream are blackholed"
	UpstreamSlow      Kind = "connections to an upstream are slow"
	UpstreamCrash     Kind = "an upstream crashes"
	UpstreamDrain     Kind = "an upstream is drained and replaced"
	PeersReset        Kind = "connections between nodes are reset"
	PeersBlackhole    Kind = "connections between nodes are blackholed"
	PeersSlow         Kind = "connections between nodes are slow"
	PeersOneWay       Kind = "connections between nodes deliver in one direction only"
	StoreTruncate     Kind = "the store truncates its history"
	GoodRollout       Kind = "a good version of a service is rolled out"
	BadRollout        Kind = "a bad version of a service is rolled out"
	RouteChange       Kind = "a configuration changes the service of a route"
	ConfigStorm       Kind = "configurations in quick succession"
	ZoneOutIn         Kind = "a zone is taken out and back in"
	StoreRestored     Kind = "the store comes back from an older copy"
	UpstreamMalformed Kind = "an upstream writes malformed responses"
)

// kinds is indexed by a random number: its order determines the faults of a seed.
var kinds = []Kind{GracefulRestart, RollingRestart, Kill, KillAll, Suspend, StoreDown, StoreSlow, StoreLosesReplies, StoreRefuses, StoreBlackhole, StoreOneWay,
	CallersReset, CallersSlow, UpstreamReset, UpstreamBlackhole, UpstreamSlow, UpstreamCrash, UpstreamDrain,
	PeersReset, PeersBlackhole, PeersSlow, PeersOneWay, StoreTruncate, GoodRollout, BadRollout, RouteChange, ConfigStorm, ZoneOutIn}

// Fault is one fault or operation of a run.
type Fault struct {
	// At is the time since the start of the run.
	At, Duration time.Duration
	Kind         Kind
	// Hosts are indexes of hosts, Zone that of a zone.
	Hosts []int
	Zone  int
}

func (f Fault) String() string {
	return fmt.Sprintf("%6.2f s for %4.1f s: %s, hosts %v", f.At.Seconds(), f.Duration.Seconds(), f.Kind, f.Hosts)
}

// Schedule of the faults of a run.
const (
	// faultFreeStart is the time before the first fault; all nodes are ready by then.
	faultFreeStart = 4 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults. As faults last up to
	// maxFaultDuration, some overlap.
	meanFaultInterval = 3 * time.Second
	maxFaultDuration  = 4 * time.Second
	// faultFreeEnd is the time without new faults at the end, in which service has to recover.
	faultFreeEnd = recoveryBound + 5*time.Second
	// planSeed is the second seed of the random numbers of a plan.
	planSeed = 0x50a6
	// meanRestoreInterval is the mean time between two restorations of the store. They are drawn apart from the other faults,
	// which a seed thus keeps.
	meanRestoreInterval = 20 * time.Second
	restoreSeed         = 0x50a7
	// meanMalformedInterval is the mean time between two times of malformed responses, which are drawn apart as well.
	meanMalformedInterval = 10 * time.Second
	malformedSeed         = 0x50a8
	// severalHostsOneIn is for the kinds that usually affect one host: one fault in so many may affect
	// several.
	severalHostsOneIn = 4
)

// Plan returns the faults of a run, which depend only on the arguments.
func Plan(seed uint64, length time.Duration, hosts, zones int) []Fault {
	r := rand.New(rand.NewPCG(seed, planSeed))
	var out []Fault
	for at := faultFreeStart; at < length-faultFreeEnd; at += time.Duration(r.ExpFloat64() * float64(meanFaultInterval)) {
		f := Fault{At: at, Duration: maxFaultDuration/4 + time.Duration(r.Int64N(int64(3*maxFaultDuration/4))), Kind: kinds[r.IntN(len(kinds))], Zone: r.IntN(zones)}
		n := 1
		if f.Kind == RollingRestart || f.Kind == StoreRefuses || f.Kind == StoreBlackhole || f.Kind == StoreOneWay || r.IntN(severalHostsOneIn) == 0 {
			n = 1 + r.IntN(max(1, hosts/2))
		}
		f.Hosts = r.Perm(hosts)[:n]
		slices.Sort(f.Hosts)
		out = append(out, f)
	}
	out = append(out, restorations(seed, length)...)
	out = append(out, malformedTimes(seed, length, hosts)...)
	slices.SortStableFunc(out, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return out
}

// restorations returns the restorations of the store in a run. Duration is the age of the copy.
func restorations(seed uint64, length time.Duration) (out []Fault) {
	r := rand.New(rand.NewPCG(seed, restoreSeed))
	next := func() time.Duration {
		return maxFaultDuration + time.Duration(r.ExpFloat64()*float64(meanRestoreInterval))
	}
	for at := faultFreeStart + next()/2; at < length-faultFreeEnd-maxFaultDuration; at += next() {
		out = append(out, Fault{At: at, Duration: time.Duration(r.Int64N(int64(maxFaultDuration))), Kind: StoreRestored, Hosts: []int{0}})
	}
	return out
}

// malformedTimes returns the faults in which upstreams write malformed responses.
func malformedTimes(seed uint64, length time.Duration, hosts int) (out []Fault) {
	r := rand.New(rand.NewPCG(seed, malformedSeed))
	next := func() time.Duration { return time.Duration(r.ExpFloat64() * float64(meanMalformedInterval)) }
	for at := faultFreeStart + next()/2; at < length-faultFreeEnd; at += next() {
		f := Fault{At: at, Duration: maxFaultDuration/4 + time.Duration(r.Int64N(int64(3*maxFaultDuration/4))), Kind: UpstreamMalformed,
			Hosts: r.Perm(hosts)[:1+r.IntN(max(1, hosts/2))]}
		slices.Sort(f.Hosts)
		out = append(out, f)
	}
	return out
}
