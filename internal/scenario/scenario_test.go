package scenario

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binDir is the directory of the programs under test.
var binDir string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "celerybank")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/...")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", out, err)
		return 1
	}
	return m.Run()
}

// TestScripts runs each script with its own processes and addresses. The scripts run one after the
// other: the load of one must not make another exceed its time limits.
func TestScripts(t *testing.T) {
	root, err := filepath.Abs(filepath.Join("..", ".."))
	if err != nil {
		t.Fatal(err)
	}
	scripts, err := filepath.Glob("testdata/scripts/*.txtar")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts in testdata/scripts: %v", err)
	}
	for i, file := range scripts {
		t.Run(filepath.Base(file), func(t *testing.T) { testscript.Run(t, params(root, file, reserveBase(t, i))) })
	}
}

// reserveBase returns a number base for which no other run on this machine uses the addresses
// 127.base.0.0/16, and reserves it until the test ends by listening on one port. It tries the
// candidates in ascending order from the one with the index first.
func reserveBase(t *testing.T, first int) int {
	const low, high = 100, 250
	for n := range high - low {
		base := low + (first+n)%(high-low)
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:7699", base))
		if err == nil {
			t.Cleanup(func() { _ = l.Close() })
			return base
		}
	}
	t.Fatal("every loopback address range for tests is in use")
	return 0
}

func params(root, file string, base int) testscript.Params {
	return testscript.Params{
		Files:               []string{file},
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			f := newFleet(binDir, env.WorkDir, base)
			env.Values[fleetKey{}] = f
			env.Defer(f.stop)
			env.Setenv("PATH", binDir+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Setenv("ROOT", root)
			env.Setenv("PLATFORM", f.platform())
			env.Setenv("CELERYBANK_PLATFORM", f.platform())
			env.Setenv("CELERYBANK_NODES", f.admin(1, 1)+"\n"+f.admin(2, 1))
			return nil
		},
		Cmds: commands,
	}
}
