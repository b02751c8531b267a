package load

import (
	"bufio"
	"os"
	"strings"

	"github.com/go-faster/errors"
)

// Check compares the verdicts that callers received with the upstreams' ledgers. It counts the keys
// that ran more than once, the attempts that ran despite the verdict not-run, and the attempts with the
// verdict ran whose key never ran. It returns an error if a ledger cannot be read or is malformed.
func (r *Report) Check(ledgers []string) error {
	runs, attempts := map[string]int64{}, map[string]bool{}
	for _, file := range ledgers {
		if err := readLedger(file, runs, attempts); err != nil {
			return err
		}
	}
	r.Doubled, r.FalseNotRun, r.LostRuns = 0, 0, 0
	for _, n := range runs {
		if n > 1 {
			r.Doubled++
		}
	}
	for attempt := range r.notRun {
		if attempts[attempt] {
			r.FalseNotRun++
		}
	}
	for _, key := range r.ran {
		if runs[key] == 0 {
			r.LostRuns++
		}
	}
	return nil
}

// readLedger adds the runs of one ledger. Each line has a key and an attempt, with "-" for a missing one.
func readLedger(file string, runs map[string]int64, attempts map[string]bool) error {
	f, err := os.Open(file)
	if err != nil {
		return errors.Wrap(err, "open ledger")
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		key, attempt, ok := strings.Cut(lines.Text(), " ")
		if !ok {
			return errors.Errorf("ledger %s: malformed line %q, want \"KEY ATTEMPT\"", file, lines.Text())
		}
		if key != "-" {
			runs[key]++
		}
		attempts[attempt] = true
	}
	return lines.Err()
}
