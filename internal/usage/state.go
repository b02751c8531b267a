package usage

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"celerybank/internal/gossip"
)

// FactKind is the kind of the gossip fact that names the holder.
const FactKind = "usage"

const (
	factKey = "holder"
	// factTTL is long, as the receiver's wall clock may be wrong; how fresh a fact is follows from when it was received.
	factTTL = 24 * time.Hour
	// sequenceShift places the generation above the number of facts of one holder.
	sequenceShift = 20
)

// state is what all nodes know of the duty.
type state struct {
	Generation uint64 `msgpack:"g"`
	// Holder is empty if none is known.
	Holder  string `msgpack:"h"`
	Process uint64 `msgpack:"p"`
	Zone    string `msgpack:"z"`
	// Through is the last window of which a report was written.
	Through int64 `msgpack:"t"`
	// Yields is set while the holder cannot do the duty: another node is to take it over.
	Yields bool `msgpack:"y,omitempty"`
}

// ObserveFact takes note of a fact. It must not call Members, whose lock is held while a fact is delivered.
func (r *Reporter) ObserveFact(f gossip.Fact) {
	var s state
	if f.Kind != FactKind || f.Key != factKey || msgpack.Unmarshal(f.Body, &s) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Generation >= r.known.Generation {
		r.known, r.heard = s, r.Clock.Boot()
	}
}

// knownState returns the newest state, and when it was heard.
func (r *Reporter) knownState() (state, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known, r.heard
}

// publish spreads the state of this node, which holds the duty.
func (r *Reporter) publish() {
	r.published++
	r.publishedAt = r.Clock.Boot()
	s := state{Generation: r.rec.Generation, Holder: r.Addr, Process: r.process, Zone: r.zone, Through: r.rec.Through,
		Yields: r.rec.Released || r.storeFailing()}
	body, err := msgpack.Marshal(&s)
	if err != nil {
		return // a struct of numbers and texts
	}
	r.Members.SetFact(gossip.Fact{Kind: FactKind, Key: factKey, Seq: int64(r.rec.Generation<<sequenceShift | r.published),
		Body: body, Expires: time.Now().Add(factTTL)})
}

// Status is what a node knows of the duty, for operators.
type Status struct {
	Holder     string `json:"holder"`
	Generation uint64 `json:"generation"`
	// Through is the last window of which a report was written.
	Through int64 `json:"through"`
	// Holds is set if this node holds the duty.
	Holds bool `json:"holds"`
	// Age is the time since this was heard.
	Age time.Duration `json:"age"`
}

// Status returns what this node knows of the duty.
func (r *Reporter) Status() Status {
	s, heard := r.knownState()
	return Status{Holder: s.Holder, Generation: s.Generation, Through: s.Through, Holds: s.Holder == r.Addr && s.Process == r.process && !s.Yields, Age: r.Clock.Boot() - heard}
}
