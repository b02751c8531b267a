package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"celerybank/internal/command"
	"celerybank/internal/configlog"
	"celerybank/internal/events"
	"celerybank/internal/fault"
	"celerybank/internal/gossip"
	"celerybank/internal/node"
	"celerybank/internal/operator"
	"celerybank/internal/peer"
	"celerybank/internal/replay"
	"celerybank/platform"
)

func addReplay(app *kingpin.Application, commands map[string]func(context.Context) error) {
	r := app.Command("replay", "Feed a recorded trace to the decisions and compare with the outcomes stated beside it (NAME.expect.json).")
	traces := r.Arg("trace", "File NAME.jsonl; may be repeated.").Required().Strings()
	commands[r.FullCommand()] = func(context.Context) error { return replayAll(*traces) }

	c := app.Command("record", "Record a trace of a running mesh: its log, its nodes and the evidence of its judges.")
	o := &recordOptions{}
	c.Flag("platform", "IP:port of the log service.").Required().StringVar(&o.platform)
	c.Flag("node", "Admin address of a node; may be repeated.").Required().StringsVar(&o.nodes)
	c.Flag("out", "File for the trace.").Required().StringVar(&o.out)
	commands[c.FullCommand()] = o.run
}

func replayAll(traces []string) error {
	failed := 0
	for _, file := range traces {
		differences, err := replayFile(file)
		if err != nil {
			return command.FileFaults{File: file, Faults: fault.List{{Reason: err.Error()}}}
		}
		for _, d := range differences {
			fmt.Printf("%s: %s\n", file, d)
			failed++
		}
		fmt.Printf("%s: %d differences\n", file, len(differences))
	}
	if failed > 0 {
		return errors.Errorf("%d outcomes differ", failed)
	}
	return nil
}

func replayFile(file string) ([]replay.Difference, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	trace, err := replay.ParseTrace(text)
	if err != nil {
		return nil, err
	}
	text, err = os.ReadFile(strings.TrimSuffix(file, ".jsonl") + ".expect.json")
	if err != nil {
		return nil, err
	}
	wants, err := replay.ParseExpectations(text)
	if err != nil {
		return nil, err
	}
	return replay.Run(trace, wants)
}

// recordOptions are the flags of the record command.
type recordOptions struct {
	platform string
	nodes    []string
	out      string
}

// recordLimit bounds the log's entries in a trace.
const recordLimit = 10_000

func (o *recordOptions) run(ctx context.Context) error {
	page, err := platform.NewLog(o.platform, 2*time.Second, peer.TCP{}.Dial).Read(ctx, configlog.MeshStream, 1, recordLimit, 0)
	if err != nil {
		return err
	}
	var lines []replay.Line
	for _, e := range page.Entries {
		rec, err := configlog.ParseRecord(e.Data)
		if err != nil {
			rec.Time = time.Time{} // a malformed record keeps its place by its offset
		}
		lines = append(lines, replay.Line{At: rec.Time, Input: replay.InputRecord, Entry: &e})
	}
	fleet := operator.NewNodeClient(o.nodes)
	merged, _, err := fleet.Timeline()
	if err != nil {
		return err
	}
	evidence, err := evidenceLines(merged)
	if err != nil {
		return err
	}
	members, err := o.members(fleet)
	if err != nil {
		return err
	}
	lines = append([]replay.Line{members}, weave(lines, evidence)...)
	return writeTrace(o.out, lines)
}

// weave puts the evidence between the records by time and keeps the records in the order of the log.
func weave(records, evidence []replay.Line) []replay.Line {
	var out []replay.Line
	for _, r := range records {
		for len(evidence) > 0 && evidence[0].At.Before(r.At) {
			out, evidence = append(out, evidence[0]), evidence[1:]
		}
		out = append(out, r)
	}
	return append(out, evidence...)
}

func evidenceLines(merged []events.Event) ([]replay.Line, error) {
	var out []replay.Line
	for _, e := range merged {
		if e.Code != events.MoveAssessed {
			continue
		}
		text, err := json.Marshal(e.Fields)
		if err != nil {
			return nil, err
		}
		l := replay.Line{}
		if err := json.Unmarshal(text, &l); err != nil {
			return nil, err
		}
		l.At, l.Input = e.Time, replay.InputEvidence
		out = append(out, l)
	}
	slices.SortStableFunc(out, func(a, b replay.Line) int { return a.At.Compare(b.At) })
	return out, nil
}

// members is the list of nodes as they are now.
func (o *recordOptions) members(fleet *operator.NodeClient) (replay.Line, error) {
	addrs, err := fleet.Addresses()
	if err != nil {
		return replay.Line{}, err
	}
	answers, _ := operator.GetAll[node.Status](addrs[:1], "/v1/status")
	if len(answers) == 0 {
		return replay.Line{}, errors.Errorf("%s does not answer", addrs[0])
	}
	list := answers[0].Members
	slices.SortFunc(list, func(a, b gossip.Member) int { return cmp.Compare(a.Addr, b.Addr) })
	return replay.Line{At: time.Now().UTC(), Input: replay.InputMembers, Members: list}, nil
}

func writeTrace(file string, lines []replay.Line) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close()
	w := bufio.NewWriter(f)
	enc := json.NewEncoder(w)
	for _, l := range lines {
		if err := enc.Encode(l); err != nil {
			return err
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}
