// Package run implements the main function that the server binaries share: command
// line, check-settings, signal handling and exit statuses.
package run

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
)

// Exit statuses of the servers.
const (
	ExitOK = 0
	// ExitError means that the process could not start, or stopped because of a failure.
	ExitError = 1
	// ExitUsage means that the command line or the settings are invalid; nothing was started.
	ExitUsage = 2
)

// Server describes one server binary.
type Server struct {
	// Name is the name of the binary; Role is the role that its log lines carry.
	Name, Role string
	// Example is a sample settings file, which the help text shows.
	Example string
	// Settings returns a pointer to new settings that hold the defaults.
	Settings func() any
	// ID returns the identity of the process, as given in the settings.
	ID func(s any) string
	// Start starts the process.
	Start func(s any, log *logging.Logger) (Process, error)
}

// Process is a running server process.
type Process struct {
	// Stop shuts the process down gracefully.
	Stop func()
	// Failed receives the error that keeps the process from continuing. It may be nil.
	Failed <-chan error
	// Reload applies settings that were read again while the process runs. It is nil
	// if the process can't apply settings without a restart.
	Reload func(s any)
}

// Main runs the server until SIGTERM or SIGINT and returns the exit status.
// With the command check-settings before the flags it only validates the settings.
func (s Server) Main(args []string) int {
	checkOnly := len(args) > 0 && args[0] == "check-settings"
	if checkOnly {
		args = args[1:]
	}
	path, err := s.parse(args)
	switch {
	case errors.Is(err, errVersionRequested):
		fmt.Println(s.Name, version())
		return ExitOK
	case err != nil:
		return ExitUsage
	}
	set := s.Settings()
	if err := settings.Load(path, set); err != nil {
		logging.New(os.Stderr, s.Role, "none").Error(logging.SettingsRejected, logging.Fields{"reason": err})
		return ExitUsage
	}
	if checkOnly {
		fmt.Printf("%s: settings are valid\n", path)
		return ExitOK
	}
	return s.serve(path, set)
}

// errVersionRequested is returned by parse if the flag -version is set.
var errVersionRequested = errors.New("version requested")

// version returns the module version of the binary, its VCS revision if the build
// recorded one, and the Go version.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			text += " " + s.Value
		}
	}
	return text + " " + info.GoVersion
}

// parse reads the flags and the environment and returns the path of the settings file.
func (s Server) parse(args []string) (string, error) {
	fs := flag.NewFlagSet(s.Name, flag.ContinueOnError)
	path := fs.String("settings", "", "path of the YAML settings file")
	showVersion := fs.Bool("version", false, "print the version and exit")
	fs.Usage = func() {
		fmt.Fprintf(fs.Output(), "%s [check-settings] -settings FILE\n\n", s.Name)
		fs.PrintDefaults()
		fmt.Fprintf(fs.Output(), "\nThe flag can also be set by the environment variable %s_SETTINGS.\n\nExamples:\n  %s check-settings -settings %s.yaml\n  %s -settings %s.yaml\n\nSettings:\n%s\n",
			s.envPrefix(), s.Name, s.Role, s.Name, s.Role, s.Example)
	}
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(s.envPrefix())); err != nil {
		return "", err
	}
	if *showVersion {
		return "", errVersionRequested
	}
	if fs.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "unknown argument %q\n", fs.Arg(0))
		return "", flag.ErrHelp
	}
	if *path == "" {
		fmt.Fprintln(os.Stderr, "the flag -settings is missing")
		return "", flag.ErrHelp
	}
	return *path, nil
}

func (s Server) envPrefix() string {
	return strings.ToUpper(strings.ReplaceAll(s.Name, "-", "_"))
}

func (s Server) serve(path string, set any) int {
	sink := logging.NewSink(os.Stdout)
	defer sink.Close()
	log := logging.NewRateLimited(sink, s.Role, s.ID(set))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	process, err := s.Start(set, log)
	if err != nil {
		log.Error(logging.ProcessStopped, logging.Fields{"reason": err})
		return ExitError
	}
	for {
		select {
		case <-signals:
			process.Stop()
			return ExitOK
		case <-reloads:
			s.reload(path, process, log)
		case err := <-process.Failed:
			process.Stop()
			log.Error(logging.ProcessStopped, logging.Fields{"reason": err})
			return ExitError
		}
	}
}

// reload reads the settings file again and applies it. Invalid settings are logged,
// and the process keeps those it has.
func (s Server) reload(path string, process Process, log *logging.Logger) {
	set := s.Settings()
	if err := settings.Load(path, set); err != nil {
		log.Error(logging.SettingsRejected, logging.Fields{"reason": err})
		return
	}
	if process.Reload == nil {
		log.Info(logging.SettingsReloaded, logging.Fields{"changed": "nothing: this process reads its settings only at start"})
		return
	}
	process.Reload(set)
}
