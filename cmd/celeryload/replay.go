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
	r := app.Command("replay", "Replay recorded traces and compare the decisions with the expectations in NAME.expect.json beside each trace.")
	traces := r.Arg("trace", "Trace file, NAME.jsonl; may be repeated.").Required().Strings()
	commands[r.FullCommand()] = func(context.Context) error { return replayAll(*traces) }

	c := app.Command("record", "Record a trace of a running mesh: the records in its log, its members and the evidence of its rollouts.")
	o := &recordOptions{}
	c.Flag("platform", "Address (IP:port) of the log service.").Required().StringVar(&o.platform)
	c.Flag("node", "Admin address of a node; may be repeated.").Required().StringsVar(&o.nodes)
	c.Flag("out", "File to write the trace to.").Required().StringVar(&o.file)
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
		return errors.Errorf("%d expectations not met", failed)
	}
	return nil
}

// replayFile replays the trace in file and returns the expectations that were not met.
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
	expectations, err := replay.ParseExpectations(text)
	if err != nil {
		return nil, err
	}
	return replay.Run(trace, expectations)
}

// recordOptions are the flags of the record command.
type recordOptions struct {
	platform string
	nodes    []string
	file     string
}

// maxTraceRecords limits the records of the log in a trace.
const maxTraceRecords = 10_000

func (o *recordOptions) run(ctx context.Context) error {
	page, err := platform.NewLog(o.platform, logTimeout, peer.TCP{}.Dial).Read(ctx, configlog.MeshStream, 1, maxTraceRecords, 0)
	if err != nil {
		return err
	}
	var lines []replay.Line
	for _, e := range page.Entries {
		rec, err := configlog.ParseRecord(e.Data)
		if err != nil {
			rec.Time = time.Time{} // a malformed record has no time; it keeps its position among the records
		}
		lines = append(lines, replay.Line{At: rec.Time, Input: replay.InputRecord, Entry: &e})
	}
	nodeClient := operator.NewNodeClient(o.nodes)
	merged, _, err := nodeClient.Timeline()
	if err != nil {
		return err
	}
	evidence, err := evidenceLines(merged)
	if err != nil {
		return err
	}
	members, err := o.members(nodeClient)
	if err != nil {
		return err
	}
	lines = append([]replay.Line{members}, mergeByTime(lines, evidence)...)
	return writeTrace(o.file, lines)
}

// mergeByTime inserts the evidence between the records by time. The records stay in the order of the log.
func mergeByTime(records, evidence []replay.Line) []replay.Line {
	var out []replay.Line
	for _, r := range records {
		for len(evidence) > 0 && evidence[0].At.Before(r.At) {
			out, evidence = append(out, evidence[0]), evidence[1:]
		}
		out = append(out, r)
	}
	return append(out, evidence...)
}

// evidenceLines returns the evidence in the events of rollouts, ordered by time.
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

// members returns the current members, as the node at the first address lists them, sorted by address.
func (o *recordOptions) members(nodeClient *operator.NodeClient) (replay.Line, error) {
	addrs, err := nodeClient.Addresses()
	if err != nil {
		return replay.Line{}, err
	}
	statuses, _ := operator.GetAll[node.Status](addrs[:1], "/v1/status")
	if len(statuses) == 0 {
		return replay.Line{}, errors.Errorf("no status from %s", addrs[0])
	}
	list := statuses[0].Members
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
