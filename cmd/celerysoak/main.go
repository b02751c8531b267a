// Command celerysoak runs nodes as separate processes, harms them from outside, and checks what
// callers and upstreams see.
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

func main() {
	app := kingpin.New("celerysoak", "A fault soak of the real programs. Each run is drawn from its seed.\n\nExample: celerysoak --seed 7 --runs 3 --for 60s").
		Version(command.Version)
	app.HelpFlag.Short('h')
	c := soak.Config{Out: os.Stdout}
	app.Flag("seed", "Seed of the first run; 0 draws one.").Default("0").Uint64Var(&c.Seed)
	runs := app.Flag("runs", "Runs, with seeds that count on.").Default("1").Int()
	app.Flag("for", "Length of a run.").Default("45s").DurationVar(&c.Length)
	app.Flag("hosts", "Nodes, each with an upstream.").Default("9").IntVar(&c.Hosts)
	app.Flag("rate", "Requests a second of the callers at each host.").Default("12").Float64Var(&c.PerS)
	app.Flag("programs", "Folder of the built programs.").Default("bin").StringVar(&c.Programs)
	out := app.Flag("out", "Folder of logs; those of a run that breaks a promise stay.").Default("out/soak").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	stop, _ := command.Signals()
	command.Exit("celerysoak", run(stop, c, *runs, *out))
}

// run plays runs and fails when one of them broke a promise.
func run(ctx context.Context, c soak.Config, runs int, out string) error {
	broken := 0
	for i := 0; i < runs && ctx.Err() == nil; i++ {
		c.Dir = filepath.Join(out, fmt.Sprint("seed-", c.Seed))
		if err := os.RemoveAll(c.Dir); err != nil {
			return err
		}
		if err := os.MkdirAll(c.Dir, 0o755); err != nil {
			return err
		}
		fmt.Printf("seed %d: %v, %d hosts\n", c.Seed, c.Length, c.Hosts)
		r, err := soak.Execute(ctx, c)
		if err != nil {
			return errors.Wrapf(err, "seed %d", c.Seed)
		}
		fmt.Printf("seed %d: %d requests, %d served, %d refused, %d promises broken\n", c.Seed, r.Counts.Requests, r.Counts.Served, r.Counts.Refused, len(r.Violations))
		for _, v := range r.Violations {
			fmt.Println("  ", v)
		}
		if len(r.Violations) > 0 {
			broken++
			fmt.Println("   logs:", c.Dir)
		} else if err := os.RemoveAll(c.Dir); err != nil {
			return err
		}
		c.Seed++
	}
	if broken > 0 {
		return errors.Errorf("%d of %d runs broke a promise", broken, runs)
	}
	return nil
}
