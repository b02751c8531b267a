// Command standin runs the cases of the review that are scripts. It starts the project's nodes as separate processes on
// loopback addresses and has stand-ins for the platform's store, the back ends and the requesters.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held      = 0
	broken    = 1
	notAbleTo = 2
)

// cases maps the name of a case to its function. trouble is false if the disruption is to be left out.
var cases = map[string]func(program string, trouble bool, rec *record) (int, error){
	"leave-forgotten":  leaveForgotten,
	"rollout-restarts": rolloutRestarts,
	"wrong-status":     wrongStatus,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD-FILE; TROUBLE=0 leaves out the disruption")
		os.Exit(notAbleTo)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		killStarted()
		os.Exit(notAbleTo)
	}()
	rec, err := newRecord(os.Args[3])
	if err == nil {
		defer rec.close()
		var status int
		if status, err = cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0", rec); err == nil {
			rec.add("exit status %d", status)
			rec.close()
			os.Exit(status)
		}
	}
	fmt.Fprintln(os.Stderr, "standin:", err)
	os.Exit(notAbleTo)
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

// add writes one line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// note writes one line and prints it.
func (r *record) note(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() { _ = r.file.Close() }

// config returns a configuration with one route for each prefix. Unsafe routes have kind unsafe.
func config(version int, host string, routes []route, services []string) []byte {
	rows := [][]any{}
	for i, x := range routes {
		rows = append(rows, []any{fmt.Sprint("r", i), host, x.prefix, x.kind, x.timeoutS, 0.4, 1, x.service, 2})
	}
	list := [][]any{}
	for _, s := range services {
		list = append(list, []any{s, "/health", 120, 3.0, 17.0})
	}
	text, _ := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", version),
		"routes": map[string]any{"columns": []string{"name", "authority", "path_prefix", "kind", "timeout_s", "target_latency_s", "priority",
			"service", "attempts"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections", "cold_start_s", "cold_per_s"}, "rows": list},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 3, "idle_timeout_s": 15}})
	return text
}

type route struct {
	prefix, kind, service string
	timeoutS              float64
}
