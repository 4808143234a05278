package soak

import (
	"context"
	_ "embed"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
)

// Exit statuses.
const (
	exitKept   = 0
	exitBroken = 1
	exitUsage  = 2
)

// regressions has a line for each seed that ever failed: the seed, and the cause.
//
//go:embed regressions.txt
var regressions string

type options struct {
	programs, out string
	seeds         []uint64
	troubleTime   time.Duration
}

// TestMain runs the tests, or the soak if its first argument says so.
func TestMain(m *testing.M) {
	if len(os.Args) < 2 || os.Args[1] != "run" {
		os.Exit(m.Run())
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[2:]))
}

func run(ctx context.Context, args []string) int {
	o, err := parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	broken := 0
	for _, seed := range o.seeds {
		findings, err := runSeed(ctx, o, seed)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d can't be run: %v\n", seed, err)
			return exitUsage
		}
		if ctx.Err() != nil {
			fmt.Fprintf(os.Stderr, "interrupted at seed %d; its logs are in %s\n", seed, o.folder(seed))
			return exitBroken
		}
		if len(findings) > 0 {
			broken++
		}
	}
	fmt.Printf("%d of %d seeds kept every promise\n", len(o.seeds)-broken, len(o.seeds))
	if broken > 0 {
		return exitBroken
	}
	return exitKept
}

func parse(args []string) (options, error) {
	fs := flag.NewFlagSet("soak", flag.ContinueOnError)
	programs := fs.String("programs", "bin", "folder with chicory-keeper and chicory-entry")
	out := fs.String("out", "soak-out", "folder for logs; those of seeds without findings are removed")
	seed := fs.Uint64("seed", 1, "first seed")
	count := fs.Int("count", 1, "number of seeds, one after the other")
	known := fs.Bool("regressions", false, "run the seeds that ever failed instead")
	trouble := fs.Duration("for", 20*time.Second, "time with troubles, for each seed")
	if err := fs.Parse(args); err != nil {
		return options{}, errors.Trace(err)
	}
	if fs.NArg() > 0 {
		return options{}, errors.Errorf("unknown argument %q", fs.Arg(0))
	}
	if *count < 1 || *trouble <= 0 {
		return options{}, errors.New("-count and -for must be above 0")
	}
	o := options{programs: *programs, out: *out, troubleTime: *trouble}
	for i := range *count {
		o.seeds = append(o.seeds, *seed+uint64(i))
	}
	if *known {
		var err error
		if o.seeds, err = knownSeeds(regressions); err != nil {
			return options{}, err
		}
	}
	for _, name := range []string{keeperProgram, entryProgram} {
		if _, err := os.Stat(filepath.Join(o.programs, name)); err != nil {
			return options{}, errors.Annotatef(err, "program %q", name)
		}
	}
	return o, nil
}

// knownSeeds reads the seeds of regressions.txt.
func knownSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		first, _, _ := strings.Cut(line, " ")
		seed, err := strconv.ParseUint(first, 10, 64)
		if err != nil {
			return nil, errors.Annotatef(err, "regressions.txt: %q", line)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

func (o options) folder(seed uint64) string {
	return filepath.Join(o.out, strconv.FormatUint(seed, 10))
}
