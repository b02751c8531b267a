// Command celerysoak runs nodes as separate processes, injects faults from outside, and checks the
// invariants of the system by what callers and upstreams observe.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"celerybank/internal/command"
	"celerybank/internal/soak"
)

// maxChosenSeed is the exclusive bound of a seed chosen from the clock; it keeps seeds short to type.
const maxChosenSeed = 1_000_000

func main() {
	app := kingpin.New("celerysoak", "Soak test with fault injection on the built programs. The seed determines the faults of a run.\n\nExample: celerysoak --seed 7 --runs 3 --for 60s").
		Version(command.Version)
	app.HelpFlag.Short('h')
	c := soak.Config{Out: os.Stdout}
	app.Flag("seed", "Seed of the first run; 0 chooses one from the clock.").Default("0").Uint64Var(&c.Seed)
	runs := app.Flag("runs", "Number of runs; each uses the next seed.").Default("1").Int()
	app.Flag("for", "Duration of a run.").Default("45s").DurationVar(&c.Duration)
	app.Flag("hosts", "Number of hosts, each with a node and an upstream.").Default("9").IntVar(&c.Hosts)
	app.Flag("rate", "Requests per second from the callers at each host.").Default("12").Float64Var(&c.Rate)
	app.Flag("programs", "Directory of the built programs.").Default("bin").StringVar(&c.Programs)
	out := app.Flag("out", "Directory for logs; only those of runs with violations are kept.").Default("out/soak").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano()) % maxChosenSeed
	}
	stop, _ := command.Signals()
	command.Exit("celerysoak", run(stop, c, *runs, *out))
}

// run executes the runs one after the other and returns an error if any of them violated an invariant.
func run(ctx context.Context, c soak.Config, runs int, out string) error {
	failed := 0
	for i := 0; i < runs && ctx.Err() == nil; i++ {
		c.Dir = filepath.Join(out, fmt.Sprint("seed-", c.Seed))
		if err := os.RemoveAll(c.Dir); err != nil {
			return err
		}
		if err := os.MkdirAll(c.Dir, 0o755); err != nil {
			return err
		}
		fmt.Printf("seed %d: %v, %d hosts\n", c.Seed, c.Duration, c.Hosts)
		r, err := soak.Run(ctx, c)
		if err != nil {
			return errors.Wrapf(err, "seed %d", c.Seed)
		}
		fmt.Printf("seed %d: %d requests, %d served, %d refused, %d without a slot, %d promises broken\n", c.Seed, r.Counts.Requests, r.Counts.Served, r.Counts.Refused, r.Counts.NoSlot, len(r.Violations))
		for _, v := range r.Violations {
			fmt.Println("  ", v)
		}
		if len(r.Violations) > 0 {
			failed++
			fmt.Println("   logs:", c.Dir)
		} else if err := os.RemoveAll(c.Dir); err != nil {
			return err
		}
		c.Seed++
	}
	if failed > 0 {
		return errors.Errorf("%d of %d runs broke a promise", failed, runs)
	}
	return nil
}
