// Package replay runs a recorded trace through the decision logic (applying records,
// assessing rollouts, routing, admission) and compares the decisions with expectations.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
	"celerybank/internal/gossip"
	"celerybank/internal/rollout"
)

// Input is the kind of a line of a trace.
type Input string

const (
	// InputRecord is an entry of the mesh stream; the decision is the outcome of applying it.
	InputRecord Input = "record"
	// InputMembers replaces the list of members; it has no decision.
	InputMembers Input = "members"
	// InputEvidence is the evidence that a rollout's coordinator collected; the decision is the
	// finding.
	InputEvidence Input = "evidence"
	// InputPick picks upstreams with a router in Zone; the outcome is the set of their zones and
	// versions.
	InputPick Input = "pick"
	// InputGate is one operation on an owner's admission gate; for acquire, the decision is the
	// result of admission.
	InputGate Input = "gate"
)

// Line is one line of a trace, as JSON.
type Line struct {
	At    time.Time `json:"at"`
	Input Input     `json:"input"`

	// Entry is the record as stored in the log, for InputRecord.
	Entry *configlog.Entry `json:"entry,omitempty"`
	// Members are the alive members, for InputMembers.
	Members []gossip.Member `json:"members,omitempty"`
	// Old and New are the evidence for Service's stable version and for Version, for
	// InputEvidence.
	Service string                  `json:"service,omitempty"`
	Version string                  `json:"version,omitempty"`
	Old     []rollout.RouteEvidence `json:"old,omitempty"`
	New     []rollout.RouteEvidence `json:"new,omitempty"`
	// Zone is the zone of the entry node and Count the number of picks, for InputPick.
	Zone  string `json:"zone,omitempty"`
	Count int    `json:"count,omitempty"`
	// Op is open, acquire, release, cool or drain, for InputGate. Slots and SlowStart are the
	// arguments of open.
	Op        string        `json:"op,omitempty"`
	Slots     int           `json:"slots,omitempty"`
	SlowStart time.Duration `json:"slow_start_ns,omitempty"`
}

// Expectation is an expected outcome; fields that are empty are not checked.
type Expectation struct {
	// Line is the line of the trace, from 1, after which the expectation is checked; 0 means the
	// end of the trace.
	Line int `json:"line"`
	// Decision is the expected decision of that line: of a record, of evidence or of acquire.
	Decision string `json:"decision,omitempty"`
	// Rollouts maps "service/version" to the expected status of the rollout.
	Rollouts map[string]string `json:"moves,omitempty"`
	// Stable maps a service to its expected stable version.
	Stable map[string]string `json:"stable,omitempty"`
	// ZonesOut are exactly the zones that are expected to be out; nil is not checked.
	ZonesOut *[]string `json:"zones_out,omitempty"`
	// Zones and Versions are the only zones and versions that a pick may return.
	Zones    []string `json:"zones,omitempty"`
	Versions []string `json:"versions,omitempty"`
	// Why is the reason for the expectation, shown with a difference.
	Why string `json:"why"`
}

// maxLine is the maximum length of one line of a trace, in bytes.
const maxLine = 16 << 20

// ParseTrace parses a trace of one JSON object per line. Errors contain the line number.
func ParseTrace(text []byte) ([]Line, error) {
	var out []Line
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, maxLine)
	for n := 1; lines.Scan(); n++ {
		var l Line
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return nil, errors.Wrapf(err, "line %d", n)
		}
		out = append(out, l)
	}
	return out, lines.Err()
}

// ParseExpectations parses a JSON array of expectations.
func ParseExpectations(text []byte) ([]Expectation, error) {
	var out []Expectation
	err := json.Unmarshal(text, &out)
	return out, err
}
