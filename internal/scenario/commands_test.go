package scenario

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"celerybank/internal/configlog"
	"celerybank/internal/events"
	"celerybank/internal/inventory"
	"celerybank/internal/load"
	"celerybank/internal/node"
	"celerybank/internal/operator"
)

// commands maps the names of the script commands to their implementations. The doc comment of an
// implementation has the arguments. A host is written Z.H, by its zone and its number in the zone.
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"platform": cmdPlatform, "mesh": cmdMesh, "node": cmdNode, "upstream": cmdUpstream,
	"sigkill": signalCmd(syscall.SIGKILL), "freeze": signalCmd(syscall.SIGSTOP), "thaw": signalCmd(syscall.SIGCONT), "term": signalCmd(syscall.SIGTERM),
	"cut": cmdCut, "heal": cmdHeal, "fault": cmdFault, "logfault": cmdLogFault,
	"expect": cmdExpect, "load": cmdLoad, "run-for": cmdRunFor, "move-rules": cmdMoveRules, "verdicts": cmdVerdicts,
}

func fleetOf(ts *testscript.TestScript) *fleet { return ts.Value(fleetKey{}).(*fleet) }

// number parses a decimal number.
func number(ts *testscript.TestScript, s string) int {
	n, err := strconv.Atoi(s)
	ts.Check(err)
	return n
}

// parseHost parses a host, written Z.H.
func parseHost(ts *testscript.TestScript, s string) (z, h int) {
	a, b, ok := strings.Cut(s, ".")
	if !ok {
		ts.Fatalf("host %q: want ZONE.HOST", s)
	}
	return number(ts, a), number(ts, b)
}

// cmdPlatform starts the platform stand-in.
//
//	platform [OPTION]...
func cmdPlatform(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(fleetOf(ts).startPlatform(args...))
}

// cmdMesh starts four hosts in each zone, each with a node and an upstream. The four upstreams of a
// zone serve the four services of examples/iblee. The options are passed to the upstreams.
//
//	mesh ZONES [OPTION]...
func cmdMesh(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	services := []string{"stock", "orders", "cutting", "price-list"}
	for z := 1; z <= number(ts, args[0]); z++ {
		for h := 1; h <= len(services); h++ {
			ts.Check(f.startNode(z, h))
			ts.Check(f.startUpstream(z, h, append([]string{"--service", services[h-1]}, args[1:]...)...))
		}
	}
}

// cmdNode starts the node of a host.
//
//	node Z.H
func cmdNode(ts *testscript.TestScript, _ bool, args []string) {
	z, h := parseHost(ts, args[0])
	ts.Check(fleetOf(ts).startNode(z, h))
}

// cmdUpstream starts the upstream of a host.
//
//	upstream Z.H [OPTION]...
func cmdUpstream(ts *testscript.TestScript, _ bool, args []string) {
	z, h := parseHost(ts, args[0])
	ts.Check(fleetOf(ts).startUpstream(z, h, args[1:]...))
}

// signalCmd returns a command that sends sig to processes by name: platform, node-Z-H or
// upstream-Z-H. A process must exit with code 0 after SIGTERM.
//
//	sigkill|freeze|thaw|term NAME...
func signalCmd(sig syscall.Signal) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			exitCode, err := fleetOf(ts).signal(name, sig)
			ts.Check(err)
			if sig == syscall.SIGTERM && exitCode != 0 {
				ts.Fatalf("%s: exit code %d after SIGTERM, want 0", name, exitCode)
			}
		}
	}
}

// cmdCut partitions a zone from the other zones and from the platform.
//
//	cut Z
func cmdCut(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(fleetOf(ts).partition(number(ts, args[0])))
}

// cmdHeal ends the partition of cmdCut.
//
//	heal
func cmdHeal(ts *testscript.TestScript, _ bool, _ []string) { ts.Check(fleetOf(ts).partition(0)) }

// cmdFault replaces the injected faults of an upstream stand-in (Faults in internal/standin/upstream).
//
//	fault Z.H JSON
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	z, h := parseHost(ts, args[0])
	ts.Check(postJSON("http://"+fleetOf(ts).ip(z, h)+":8000/control/faults", json.RawMessage(args[1])))
}

// cmdLogFault replaces the injected faults of the platform stand-in (configlog.Faults).
//
//	logfault JSON
func cmdLogFault(ts *testscript.TestScript, _ bool, args []string) {
	var faults configlog.Faults
	ts.Check(json.Unmarshal([]byte(args[0]), &faults))
	ts.Check(postJSON("http://"+fleetOf(ts).platform()+"/control", faults))
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 50 * time.Millisecond

// cmdExpect waits until a condition holds, and fails after LIMIT. With version, at least NODES nodes
// are ready and have applied configuration version N or a later one. With event, a running node has
// recorded an event NAME whose fields, as JSON, contain TEXT.
//
//	expect LIMIT version N NODES
//	expect LIMIT event NAME [TEXT]...
func cmdExpect(ts *testscript.TestScript, neg bool, args []string) {
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	if neg {
		ts.Fatalf("expect cannot be negated")
	}
	var last string
	for start := time.Now(); time.Since(start) < limit; time.Sleep(pollInterval) {
		var ok bool
		switch args[1] {
		case "version":
			ok, last = versionApplied(fleetOf(ts), int64(number(ts, args[2])), number(ts, args[3]))
		case "event":
			ok, last = eventRecorded(fleetOf(ts), args[2], strings.Join(args[3:], " "))
		default:
			ts.Fatalf("unknown condition %q, want version or event", args[1])
		}
		if ok {
			return
		}
	}
	ts.Fatalf("condition not met within %v: %s (last check: %s)", limit, strings.Join(args[1:], " "), last)
}

// adminAddrs returns the admin addresses of the running nodes.
func (f *fleet) adminAddrs() []string {
	var out []string
	for key := range f.nodes {
		z, h, _ := strings.Cut(key, ".")
		zi, _ := strconv.Atoi(z)
		hi, _ := strconv.Atoi(h)
		out = append(out, f.admin(zi, hi))
	}
	return out
}

// versionApplied reports whether at least the given number of nodes are ready and have applied the
// version or a later one. The text describes what it found.
func versionApplied(f *fleet, version int64, nodes int) (bool, string) {
	statuses, unreachable := operator.GetAll[node.Status](f.adminAddrs(), "/v1/status")
	n := 0
	for _, s := range statuses {
		if s.Ready && s.Version >= version {
			n++
		}
	}
	return n >= nodes, strconv.Itoa(n) + " nodes, no status from: " + strings.Join(unreachable, " ")
}

// eventRecorded reports whether a running node has recorded an event with the name whose fields, as
// JSON, contain text. The returned text names the nodes that did not return their events.
func eventRecorded(f *fleet, name, text string) (bool, string) {
	timelines, unreachable := operator.GetAll[[]events.Event](f.adminAddrs(), "/v1/timeline")
	for _, timeline := range timelines {
		for _, e := range timeline {
			fields, err := json.Marshal(e.Fields)
			if err == nil && e.Name == name && strings.Contains(string(fields), text) {
				return true, ""
			}
		}
	}
	return false, "no events from: " + strings.Join(unreachable, " ")
}

// cmdLoad runs the load generator. start starts it with the running nodes as its targets. wait waits
// until it has ended, with exit code 0; its report, checked against the ledger of the upstreams, is in
// report.json then, for cmdVerdicts.
//
//	load start RATE DURATION MIX [OPTION]...
//	load wait
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	if args[0] == "wait" {
		ts.Check(f.load.Wait())
		ts.Logf("%s", f.loadOutput.String())
		return
	}
	argv := []string{"run", "--rate", args[1], "--duration", args[2], "--mix", ts.MkAbs(args[3]),
		"--report", filepath.Join(f.dir, "report.json"), "--ledger", filepath.Join(f.dir, "ledger")}
	argv = append(argv, args[4:]...)
	for _, a := range f.adminAddrs() {
		argv = append(argv, "--target", strings.Replace(a, ":9000", ":8080", 1))
	}
	f.load = exec.Command(filepath.Join(f.bin, "celeryload"), argv...)
	f.load.Stdout, f.load.Stderr = &f.loadOutput, &f.loadOutput
	ts.Check(f.load.Start())
}

// cmdVerdicts checks the report of the load generator: no response belongs to another request, no
// idempotency key ran more than once, no verdict is false, and at least the fraction MIN of the
// requests were served. With none-missing, each request also got a response.
//
//	verdicts MIN [none-missing]
func cmdVerdicts(ts *testscript.TestScript, _ bool, args []string) {
	text, err := os.ReadFile(filepath.Join(fleetOf(ts).dir, "report.json"))
	ts.Check(err)
	var r load.Report
	ts.Check(json.Unmarshal(text, &r))
	r.Series = nil
	summary, err := json.Marshal(r)
	ts.Check(err)
	ts.Logf("%s", summary)
	if r.Wrong > 0 || r.Doubled > 0 || r.FalseNotRun > 0 || r.LostRuns > 0 {
		ts.Fatalf("%d responses to other requests, %d keys that ran more than once, %d false verdicts not-run, %d false verdicts ran", r.Wrong, r.Doubled, r.FalseNotRun, r.LostRuns)
	}
	minShare, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	if share := float64(r.OK) / float64(r.Requests); share < minShare {
		ts.Fatalf("served %.4f of %d requests, want at least %.4f", share, r.Requests, minShare)
	}
	if len(args) > 1 && args[1] == "none-missing" && r.Missing > 0 {
		ts.Fatalf("%d requests without a response, want none", r.Missing)
	}
}

// cmdRunFor waits while the mesh runs, for example between two faults.
//
//	run-for DURATION
func cmdRunFor(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	<-time.After(d)
}

// cmdMoveRules writes rules that order a rollout of the version, with a completion time of DURATION
// from now.
//
//	move-rules FILE SERVICE VERSION DURATION
func cmdMoveRules(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[3])
	ts.Check(err)
	rules := inventory.Rules{Rollouts: []inventory.Rollout{{Service: args[1], To: args[2], By: time.Now().Add(d).UTC()}}}
	text, err := json.Marshal(rules)
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), text, 0o644))
}
