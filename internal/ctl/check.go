package ctl

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared/check"
)

// Exit statuses of the command config check. They differ from those of the other commands.
const (
	// ExitWarnings: control VMs accept the configuration, but there are warnings.
	ExitWarnings = 1
	// ExitErrors: control VMs reject the configuration, or it can't be read.
	ExitErrors = 2
	// ExitUnreachable: the configuration in force can't be read from the control VM.
	ExitUnreachable = 3
)

const (
	// checkTimeout limits the reads of one check. Pipes may never end.
	checkTimeout = 10 * time.Second
	// defaultEntryMegabytes is the memory of the smallest entry VM of the known deployments.
	defaultEntryMegabytes = 144
	bytesPerMegabyte      = 1 << 20
)

// Documents reads the configuration documents of the platform on which the system runs.
type Documents interface {
	// Read finds all problems of a document.
	Read(document []byte) *declared.Document
	// Fetch reads the document in force from the control VM at host:port.
	Fetch(ctx context.Context, address string) ([]byte, error)
	// MaxBytes is the size up to which control VMs accept a document.
	MaxBytes() int
}

// statusError ends a command with an exit status of its own. Nothing is printed for an error
// without a message.
type statusError struct {
	status  int
	message string
}

// Error returns the message.
func (e *statusError) Error() string { return e.message }

// checkRequest is the command line of config check.
type checkRequest struct {
	file, against string
	entryVMs      int
	entryMemory   int64 // megabytes
}

// checkReport is the result of config check.
type checkReport struct {
	checkSummary
	Findings []check.Finding
}

// checkSummary is the JSON output of config check without the findings.
type checkSummary struct {
	File     string `json:"file"`
	Errors   int    `json:"errors"`
	Warnings int    `json:"warnings"`
	// Unreachable is why the configuration in force could not be read.
	Unreachable string `json:"unreachable,omitempty"`
}

func (a *app) configCheckCommand() *ffcli.Command {
	req := checkRequest{}
	fs := flag.NewFlagSet("chicoryctl config check", flag.ContinueOnError)
	fs.StringVar(&req.against, "against", "", "configuration in force: HOST:PORT of a control VM, or a file")
	fs.IntVar(&req.entryVMs, "entry-vms", 0, "number of entry VMs, to compare with the connections that targets accept; 0 means unknown")
	fs.Int64Var(&req.entryMemory, "entry-memory", defaultEntryMegabytes, "memory of the smallest entry VM in MB")
	fs.StringVar(&a.output, "output", outputText, "output format: text or json")
	fs.StringVar(&a.output, "o", outputText, "the same as -output")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "chicoryctl config check FILE [-against HOST:PORT|FILE] [-output text|json]",
		ShortHelp:  "Checks a declared configuration before it is sent; it sends nothing but a read.",
		LongHelp: "Exit statuses: 0 clean, 1 warnings, 2 errors, 3 the control VM is unreachable.\n\n" +
			"Example:\n  chicoryctl config check next.json -against 10.1.0.5:7200",
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			files, err := parseInterspersed(fs, args)
			if err != nil {
				return err
			}
			if len(files) != 1 {
				return errors.New("expected exactly one file with a configuration")
			}
			if a.output != outputText && a.output != outputJSON {
				return errors.Errorf("output %q is neither text nor json", a.output)
			}
			if req.entryVMs < 0 || req.entryMemory < 0 || req.entryMemory > maxEntryMegabytes {
				return errors.New("the flags -entry-vms and -entry-memory must not be negative or too large")
			}
			req.file = files[0]
			ctx, cancel := context.WithTimeout(ctx, checkTimeout)
			defer cancel()
			return a.checkConfiguration(ctx, req)
		},
	}
}

// maxEntryMegabytes keeps the memory in bytes in the range of int64.
const maxEntryMegabytes = 1 << 40

// parseInterspersed parses flags after the first argument as well, and returns the arguments.
func parseInterspersed(fs *flag.FlagSet, args []string) ([]string, error) {
	var files []string
	for len(args) > 0 {
		files = append(files, args[0])
		if err := fs.Parse(args[1:]); err != nil {
			return nil, errors.Trace(err)
		}
		args = fs.Args()
	}
	return files, nil
}

// checkConfiguration checks a file and prints the report. The returned error has the exit status.
func (a *app) checkConfiguration(ctx context.Context, req checkRequest) error {
	if a.documents == nil {
		return errors.New("this program can't read configurations of a platform")
	}
	text, err := readBounded(ctx, req.file, a.documents.MaxBytes())
	if err != nil {
		return a.printReport(unreadable(req.file, err))
	}
	document := a.documents.Read(text)
	deployment := check.Deployment{EntryVMs: req.entryVMs, EntryMemory: req.entryMemory * bytesPerMegabyte}
	report := &checkReport{checkSummary{File: req.file}, check.Check(document, deployment)}
	// A configuration that is rejected has no effect, so there is nothing to compare.
	if req.against != "" && check.Worst(report.Findings) != check.Error {
		if err := a.compare(ctx, req.against, document, report); err != nil {
			return err
		}
	}
	return a.printReport(report)
}

func unreadable(file string, err error) *checkReport {
	return &checkReport{checkSummary{File: file}, []check.Finding{{Severity: check.Error, Kind: check.Unreadable, Message: err.Error()}}}
}

// compare adds the differences from the configuration in force to the report.
func (a *app) compare(ctx context.Context, against string, document *declared.Document, report *checkReport) error {
	remote := isAddress(against)
	inForce, err := a.readInForce(ctx, against, remote)
	if err != nil {
		if remote {
			report.Unreachable = err.Error()
			return nil
		}
		return errors.Annotate(err, "configuration in force")
	}
	differences := check.Compare(inForce, document)
	if len(report.Findings) > 0 {
		differences = append(report.Findings, differences...)
	}
	report.Findings = differences
	return nil
}

func (a *app) readInForce(ctx context.Context, against string, remote bool) (*declared.Configuration, error) {
	var text []byte
	var err error
	if remote {
		text, err = a.documents.Fetch(ctx, against)
	} else {
		text, err = readBounded(ctx, against, a.documents.MaxBytes())
	}
	if err != nil {
		return nil, errors.Annotate(err, against)
	}
	document := a.documents.Read(text)
	if len(document.Problems) > 0 {
		p := document.Problems[0]
		return nil, errors.Errorf("%s: line %d: %s", against, p.Line, p.Message)
	}
	return document.Configuration, nil
}

// isAddress reports whether against is HOST:PORT and not a file.
func isAddress(against string) bool {
	host, port, err := net.SplitHostPort(against)
	if err != nil || host == "" || strings.ContainsAny(host, `/\`) {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// readBounded reads a file of at most limit bytes until ctx ends. The file may be a pipe, or
// have no end.
func readBounded(ctx context.Context, path string, limit int) ([]byte, error) {
	type result struct {
		data []byte
		err  error
	}
	done := make(chan result, 1)
	go func() { // stays behind if ctx ends first, as opening a pipe can't be interrupted
		f, err := os.Open(path)
		if err != nil {
			done <- result{nil, err}
			return
		}
		var data bytes.Buffer
		if info, err := f.Stat(); err == nil && info.Mode().IsRegular() {
			// One allocation of the right size; a buffer that grows step by step needs several times as much.
			data.Grow(int(min(info.Size(), int64(limit))) + bytes.MinRead)
		}
		_, err = data.ReadFrom(io.LimitReader(f, int64(limit)+1))
		_ = f.Close() // was only read
		done <- result{data.Bytes(), err}
	}()
	select {
	case r := <-done:
		if r.err == nil && len(r.data) > limit {
			return nil, errors.Errorf("%s exceeds the %d bytes that control VMs accept", path, limit)
		}
		return r.data, errors.Trace(r.err)
	case <-ctx.Done():
		return nil, errors.Errorf("%s has no end or can't be read in time", path)
	}
}

// printReport prints the report and returns an error with the exit status unless it is clean.
func (a *app) printReport(r *checkReport) error {
	differences := 0
	for _, f := range r.Findings {
		switch f.Severity {
		case check.Error:
			r.Errors++
		case check.Warning:
			r.Warnings++
		default:
			differences++
		}
	}
	if err := a.writeReport(r, differences); err != nil {
		return err
	}
	switch {
	case r.Errors > 0:
		return &statusError{ExitErrors, ""}
	case r.Unreachable != "":
		return &statusError{ExitUnreachable, "the configuration in force can't be read: " + r.Unreachable}
	case r.Warnings > 0:
		return &statusError{ExitWarnings, ""}
	}
	return nil
}

func (a *app) writeReport(r *checkReport, differences int) error {
	out := bufio.NewWriter(a.out)
	if a.output == outputJSON {
		if err := r.writeJSON(out); err != nil {
			return err
		}
		return errors.Trace(out.Flush())
	}
	for i := range r.Findings {
		writeFinding(out, r.File, &r.Findings[i])
	}
	fmt.Fprintf(out, "%d errors, %d warnings, %d differences\n", r.Errors, r.Warnings, differences)
	return errors.Trace(out.Flush())
}

// writeFinding writes a finding without intermediate strings, as there may be 40,000 of them. An
// error of w is returned when it is flushed.
func writeFinding(w *bufio.Writer, file string, f *check.Finding) {
	name := string(f.Severity)
	if f.Severity == check.Info {
		name = "difference"
	}
	_, _ = w.WriteString(file)
	if f.Line > 0 {
		_ = w.WriteByte(':')
		_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), int64(f.Line), 10))
	}
	for _, text := range []string{": ", name, ": ", f.Message, " (", string(f.Kind)} {
		_, _ = w.WriteString(text)
	}
	if f.Field != "" {
		_, _ = w.WriteString(", ")
		_, _ = w.WriteString(f.Field)
	}
	_, _ = w.WriteString(")\n")
}

// writeJSON writes the report with one finding a line. The findings are encoded one at a time, as
// a report with 40,000 would need several times its size in memory.
func (r *checkReport) writeJSON(w io.Writer) error {
	head, err := json.Marshal(r.checkSummary)
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintf(w, "%s,\n\"findings\":[\n", head[:len(head)-1])
	encoder := json.NewEncoder(w) // ends each finding with a newline
	separator := ""
	for i := range r.Findings {
		if _, err := io.WriteString(w, separator); err != nil {
			return errors.Trace(err)
		}
		if err := encoder.Encode(&r.Findings[i]); err != nil {
			return errors.Trace(err)
		}
		separator = ","
	}
	_, err = fmt.Fprintln(w, "]}")
	return errors.Trace(err)
}
