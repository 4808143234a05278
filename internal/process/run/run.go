// Package run is what the main functions of the servers share: the command line,
// check-settings, signals and exit statuses.
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
	// ExitError: the process could not start or stopped because of a failure.
	ExitError = 1
	// ExitUsage: the command line or the settings have an error; nothing was started.
	ExitUsage = 2
)

// Server describes one server binary.
type Server struct {
	// Name is the binary's name; Role is its name in logs.
	Name, Role string
	// Example is a settings example for the help text.
	Example string
	// Settings returns a pointer to settings with defaults.
	Settings func() any
	// ID returns the process's identity from the settings.
	ID func(s any) string
	// Start starts the process.
	Start func(s any, log *logging.Logger) (Running, error)
}

// Running is a started process.
type Running struct {
	// Stop shuts the process down in order.
	Stop func()
	// Failed receives the reason when the process can't go on. It may be nil.
	Failed <-chan error
	// Reload takes over settings that changed while the process runs. It may be nil,
	// when nothing can change.
	Reload func(s any)
}

// Main runs the server until SIGTERM or SIGINT and returns the exit status.
// With the word check-settings before the flags it only reads the settings.
func (s Server) Main(args []string) int {
	checkOnly := len(args) > 0 && args[0] == "check-settings"
	if checkOnly {
		args = args[1:]
	}
	path, err := s.parse(args)
	switch {
	case errors.Is(err, errVersionAsked):
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

// errVersionAsked says that only the version is asked for.
var errVersionAsked = errors.New("the version is asked for")

// version returns the version that the binary was built of: the module's, and the
// revision if the build knew it.
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

// parse reads the flags and the environment and returns the settings' path.
func (s Server) parse(args []string) (string, error) {
	fs := flag.NewFlagSet(s.Name, flag.ContinueOnError)
	path := fs.String("settings", "", "path of the YAML settings file")
	asked := fs.Bool("version", false, "print the version and exit")
	fs.Usage = func() {
		fmt.Fprintf(fs.Output(), "%s [check-settings] -settings FILE\n\n", s.Name)
		fs.PrintDefaults()
		fmt.Fprintf(fs.Output(), "\nThe flag may also come from the environment as %s_SETTINGS.\n\nExamples:\n  %s check-settings -settings %s.yaml\n  %s -settings %s.yaml\n\nSettings:\n%s\n",
			s.envPrefix(), s.Name, s.Role, s.Name, s.Role, s.Example)
	}
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(s.envPrefix())); err != nil {
		return "", err
	}
	if *asked {
		return "", errVersionAsked
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
	log := logging.NewBounded(sink, s.Role, s.ID(set))
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

// reload reads the settings again. An error in them leaves those in force.
func (s Server) reload(path string, process Running, log *logging.Logger) {
	set := s.Settings()
	if err := settings.Load(path, set); err != nil {
		log.Error(logging.SettingsRejected, logging.Fields{"reason": err})
		return
	}
	if process.Reload == nil {
		log.Info(logging.SettingsReloaded, logging.Fields{"changed": "nothing, this process takes new settings at a start"})
		return
	}
	process.Reload(set)
}
