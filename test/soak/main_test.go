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

// Exit statuses of the soak command.
const (
	exitOK         = 0
	exitViolations = 1
	exitUsage      = 2
)

// regressions lists every seed that has failed before, one per line with its cause.
//
//go:embed regressions.txt
var regressions string

type options struct {
	// programs is the folder of the programs. If oldPrograms is set, those of that folder run when a seed
	// begins, and are replaced.
	programs, oldPrograms, out string
	seeds                      []uint64
	faultPhase                 time.Duration
}

// TestMain runs the tests, or the soak command if the first argument is "run".
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
	failed := 0
	for _, seed := range o.seeds {
		violations, err := runSeed(ctx, o, seed)
		if err != nil {
			fmt.Fprintf(os.Stderr, "cannot run seed %d: %v\n", seed, err)
			return exitUsage
		}
		if ctx.Err() != nil {
			fmt.Fprintf(os.Stderr, "interrupted at seed %d; its logs are in %s\n", seed, o.folder(seed))
			return exitViolations
		}
		if len(violations) > 0 {
			failed++
		}
	}
	fmt.Printf("%d of %d seeds passed\n", len(o.seeds)-failed, len(o.seeds))
	if failed > 0 {
		return exitViolations
	}
	return exitOK
}

func parse(args []string) (options, error) {
	fs := flag.NewFlagSet("soak", flag.ContinueOnError)
	programs := fs.String("programs", "bin", "folder with chicory-keeper and chicory-entry")
	oldPrograms := fs.String("old", "", "folder with the programs of another build: they run when a seed begins and are replaced one after the other")
	out := fs.String("out", "soak-out", "folder for logs; logs of seeds that pass are removed")
	seed := fs.Uint64("seed", 1, "first seed")
	count := fs.Int("count", 1, "number of consecutive seeds to run")
	regressionsOnly := fs.Bool("regressions", false, "run the seeds of regressions.txt instead")
	faultTime := fs.Duration("for", 20*time.Second, "duration of fault injection for each seed")
	if err := fs.Parse(args); err != nil {
		return options{}, errors.Trace(err)
	}
	if fs.NArg() > 0 {
		return options{}, errors.Errorf("unknown argument %q", fs.Arg(0))
	}
	if *count < 1 || *faultTime <= 0 {
		return options{}, errors.New("-count and -for must be above 0")
	}
	o := options{programs: *programs, oldPrograms: *oldPrograms, out: *out, faultPhase: *faultTime}
	for i := range *count {
		o.seeds = append(o.seeds, *seed+uint64(i))
	}
	if *regressionsOnly {
		var err error
		if o.seeds, err = parseSeeds(regressions); err != nil {
			return options{}, err
		}
	}
	for _, name := range []string{keeperProgram, entryProgram} {
		for _, folder := range []string{o.programs, o.firstPrograms()} {
			if _, err := os.Stat(filepath.Join(folder, name)); err != nil {
				return options{}, errors.Annotatef(err, "program %q", name)
			}
		}
	}
	return o, nil
}

// firstPrograms returns the folder of the programs that run when a seed begins.
func (o options) firstPrograms() string {
	if o.oldPrograms != "" {
		return o.oldPrograms
	}
	return o.programs
}

// parseSeeds returns the seeds of a file in the format of regressions.txt.
func parseSeeds(text string) ([]uint64, error) {
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
