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

var commands = map[string]func(*testscript.TestScript, bool, []string){
	"platform": cmdPlatform, "mesh": cmdMesh, "node": cmdNode, "upstream": cmdUpstream,
	"sigkill": signalCmd(syscall.SIGKILL), "freeze": signalCmd(syscall.SIGSTOP), "thaw": signalCmd(syscall.SIGCONT), "term": signalCmd(syscall.SIGTERM),
	"cut": cmdCut, "heal": cmdHeal, "fault": cmdFault, "logfault": cmdLogFault,
	"expect": cmdExpect, "load": cmdLoad, "run-for": cmdRunFor, "move-rules": cmdMoveRules, "verdicts": cmdVerdicts,
}

func fleetOf(ts *testscript.TestScript) *fleet { return ts.Value(fleetKey{}).(*fleet) }

func number(ts *testscript.TestScript, s string) int {
	n, err := strconv.Atoi(s)
	ts.Check(err)
	return n
}

// place reads "zone.host".
func place(ts *testscript.TestScript, s string) (z, h int) {
	a, b, ok := strings.Cut(s, ".")
	if !ok {
		ts.Fatalf("want zone.host, got %q", s)
	}
	return number(ts, a), number(ts, b)
}

// platform [options]: starts the platform stand-in.
func cmdPlatform(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(fleetOf(ts).startPlatform(args...))
}

// mesh ZONES: in each zone four hosts with the example's services, one upstream each.
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

// node Z.H: starts a node. upstream Z.H options: starts an upstream.
func cmdNode(ts *testscript.TestScript, _ bool, args []string) {
	z, h := place(ts, args[0])
	ts.Check(fleetOf(ts).startNode(z, h))
}

func cmdUpstream(ts *testscript.TestScript, _ bool, args []string) {
	z, h := place(ts, args[0])
	ts.Check(fleetOf(ts).startUpstream(z, h, args[1:]...))
}

// sigkill|freeze|thaw|term NAME...: signals processes: platform, node-Z-H, upstream-Z-H.
func signalCmd(sig syscall.Signal) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			exit, err := fleetOf(ts).signal(name, sig)
			ts.Check(err)
			if sig == syscall.SIGTERM && exit != 0 {
				ts.Fatalf("%s: exit code %d after SIGTERM", name, exit)
			}
		}
	}
}

// cut Z: separates a zone from the others and the platform. heal: undoes it.
func cmdCut(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(fleetOf(ts).cut(number(ts, args[0])))
}

func cmdHeal(ts *testscript.TestScript, _ bool, _ []string) { ts.Check(fleetOf(ts).cut(0)) }

// fault Z.H JSON: sets the faults of an upstream stand-in.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	z, h := place(ts, args[0])
	ts.Check(postJSON("http://"+fleetOf(ts).ip(z, h)+":8000/control/faults", json.RawMessage(args[1])))
}

// logfault JSON: sets the faults of the platform stand-in (configlog.Faults).
func cmdLogFault(ts *testscript.TestScript, _ bool, args []string) {
	var faults configlog.Faults
	ts.Check(json.Unmarshal([]byte(args[0]), &faults))
	ts.Check(postJSON("http://"+fleetOf(ts).platform()+"/control", faults))
}

// expect LIMIT version N NODES | event NAME [TEXT]: waits for a state of the mesh.
func cmdExpect(ts *testscript.TestScript, neg bool, args []string) {
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	if neg {
		ts.Fatalf("expect cannot be negated: it waits")
	}
	var last string
	for start := time.Now(); time.Since(start) < limit; time.Sleep(50 * time.Millisecond) {
		var ok bool
		switch args[1] {
		case "version":
			ok, last = atVersion(fleetOf(ts), int64(number(ts, args[2])), number(ts, args[3]))
		case "event":
			ok, last = sawEvent(fleetOf(ts), args[2], strings.Join(args[3:], " "))
		default:
			ts.Fatalf("expect what? %q", args[1])
		}
		if ok {
			return
		}
	}
	ts.Fatalf("not within %v: %s (last: %s)", limit, strings.Join(args[1:], " "), last)
}

func (f *fleet) admins() []string {
	var out []string
	for key := range f.nodes {
		z, h, _ := strings.Cut(key, ".")
		zi, _ := strconv.Atoi(z)
		hi, _ := strconv.Atoi(h)
		out = append(out, f.admin(zi, hi))
	}
	return out
}

func atVersion(f *fleet, version int64, nodes int) (bool, string) {
	answers, silent := operator.Ask[node.Status](f.admins(), "/v1/status")
	n := 0
	for _, a := range answers {
		if a.Ready && a.Version >= version {
			n++
		}
	}
	return n >= nodes, strconv.Itoa(n) + " nodes, silent " + strings.Join(silent, " ")
}

func sawEvent(f *fleet, name, text string) (bool, string) {
	lines, silent := operator.Ask[[]events.Event](f.admins(), "/v1/timeline")
	for _, l := range lines {
		for _, e := range l {
			fields, err := json.Marshal(e.Fields)
			if err == nil && e.Name == name && strings.Contains(string(fields), text) {
				return true, ""
			}
		}
	}
	return false, "silent " + strings.Join(silent, " ")
}

// load start RATE DURATION MIX [options] sends load through every running node.
// load wait ends when it has ended; its report is report.json and checked.
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	if args[0] == "wait" {
		ts.Check(f.load.Wait())
		ts.Logf("%s", f.loadOut.String())
		return
	}
	argv := []string{"run", "--rate", args[1], "--duration", args[2], "--mix", ts.MkAbs(args[3]),
		"--report", filepath.Join(f.dir, "report.json"), "--ledger", filepath.Join(f.dir, "ledger")}
	argv = append(argv, args[4:]...)
	for _, a := range f.admins() {
		argv = append(argv, "--target", strings.Replace(a, ":9000", ":8080", 1))
	}
	f.load = exec.Command(filepath.Join(f.bin, "celeryload"), argv...)
	f.load.Stdout, f.load.Stderr = &f.loadOut, &f.loadOut
	ts.Check(f.load.Start())
}

// verdicts MIN: no wrong or missing answer, no doubled run, no false verdict, and at
// least that share of the calls served.
func cmdVerdicts(ts *testscript.TestScript, _ bool, args []string) {
	text, err := os.ReadFile(filepath.Join(fleetOf(ts).dir, "report.json"))
	ts.Check(err)
	var r load.Report
	ts.Check(json.Unmarshal(text, &r))
	r.Series = nil
	brief, err := json.Marshal(r)
	ts.Check(err)
	ts.Logf("%s", brief)
	if r.Wrong > 0 || r.Doubled > 0 || r.FalseNotRun > 0 || r.LostRuns > 0 {
		ts.Fatalf("wrong %d, doubled %d, false not-run %d, ran without a run %d", r.Wrong, r.Doubled, r.FalseNotRun, r.LostRuns)
	}
	least, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	if share := float64(r.OK) / float64(r.Requests); share < least {
		ts.Fatalf("served %.4f of %d calls, want %.4f", share, r.Requests, least)
	}
	if len(args) > 1 && args[1] == "none-missing" && r.Missing > 0 {
		ts.Fatalf("%d calls without an answer", r.Missing)
	}
}

// run-for DURATION: lets the mesh run for a while under load, between two faults.
func cmdRunFor(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	<-time.After(d)
}

// move-rules FILE SERVICE VERSION DURATION: writes rules that ask for a move by that time from now.
func cmdMoveRules(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[3])
	ts.Check(err)
	rules := inventory.Rules{Rollouts: []inventory.Rollout{{Service: args[1], To: args[2], By: time.Now().Add(d).UTC()}}}
	text, err := json.Marshal(rules)
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), text, 0o644))
}
