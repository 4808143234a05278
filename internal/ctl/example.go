package ctl

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/template"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
)

// Port offsets of the example from its base port. Each is the first of a range, with
// one port for each VM.
const (
	controlPeerPort = iota * 10
	controlOperatorPort
	controlMonitorPort
	routerCallerPort
	routerPeerPort
	routerMonitorPort
	modelPort
	newModelPort
	transactionPort
	newTransactionPort
	portsEnd

	defaultBasePort = 21000
	maxPort         = 65535
)

const (
	secretMode = 0o600
	folderMode = 0o755
)

// zones are the example's availability zones; each has one control VM and one router.
var zones = []string{"a", "b", "c"}

// exampleVM is the data of the example templates.
type exampleVM struct {
	Folder string
	Number int // number of the control VM and router, from 1
	Zone   string
	Base   int   // base port
	All    []int // numbers of all control VMs and routers
}

// Port returns the address of this VM for a port offset.
func (v exampleVM) Port(offset int) string {
	return v.At(offset, v.Number)
}

// At returns the address of VM n for a port offset.
func (v exampleVM) At(offset, n int) string {
	return fmt.Sprintf("127.0.0.1:%d", v.Base+offset+n-1)
}

const controlExample = `# Settings of control VM c{{.Number}}.
id: c{{.Number}}
availability_zone: {{.Zone}}
data_folder: {{.Folder}}/data-c{{.Number}}
peer_address: {{.Port 0}}
operator_address: {{.Port 10}}
monitor_address: {{.Port 20}}
control:
{{- range .All}}
  - {id: c{{.}}, address: "{{$.At 0 .}}"}
{{- end}}
keys:
  certificate: {{.Folder}}/keys/c{{.Number}}.pem
  key: {{.Folder}}/keys/c{{.Number}}-key.pem
  authority: {{.Folder}}/keys/ca.pem
`

const routerExample = `# Settings of router r{{.Number}}.
id: r{{.Number}}
availability_zone: {{.Zone}}
caller_address: {{.Port 30}}
peer_address: {{.Port 40}}
monitor_address: {{.Port 50}}
control:
{{- range .All}}
  - {id: c{{.}}, address: "{{$.At 0 .}}"}
{{- end}}
keys:
  certificate: {{.Folder}}/keys/r{{.Number}}.pem
  key: {{.Folder}}/keys/r{{.Number}}-key.pem
  authority: {{.Folder}}/keys/ca.pem
resume_key_file: {{.Folder}}/resume.key
`

const ctlExample = `# Flags of chicoryctl: chicoryctl status -config ctl.yaml
control: {{.At 10 1}},{{.At 10 2}},{{.At 10 3}}
certificate: {{.Folder}}/keys/operator.pem
key: {{.Folder}}/keys/operator-key.pem
authority: {{.Folder}}/keys/ca.pem
`

const changesExample = `# Initial configuration: one model service and one transactional service.
changes:
  - put_service: {name: drafts, kind: SERVICE_KIND_MODEL}
  - put_service: {name: dispatch, kind: SERVICE_KIND_TRANSACTIONAL, can_lookup_keys: true}
  - put_route:
      name: summaries
      service: drafts
      version: v1
      default_timeout_ms: 600000
      objectives: {availability_millipercent: 99900, latency_millipercent: 95000, first_token_ms: 1100, token_gap_ms: 100}
  - put_route:
      name: booking
      service: dispatch
      version: v1
      non_idempotent: true
      default_timeout_ms: 5000
      objectives: {availability_millipercent: 99950, latency_millipercent: 99000, call_latency_ms: 250}
  - put_route:
      name: lookup
      service: dispatch
      version: v1
      default_timeout_ms: 2000
      objectives: {availability_millipercent: 99950, latency_millipercent: 99000, call_latency_ms: 100}
  - put_team: {name: desk, concurrent_generations: 50, tokens_per_second: 100000, calls_per_second: 2000}
{{- range .All}}
  - put_target: {address: "{{$.At 60 .}}", service: drafts, version: v1, availability_zone: {{zone .}}}
  - put_target: {address: "{{$.At 70 .}}", service: drafts, version: v2, availability_zone: {{zone .}}}
  - put_target: {address: "{{$.At 80 .}}", service: dispatch, version: v1, availability_zone: {{zone .}}, checks_fencing: true}
  - put_target: {address: "{{$.At 90 .}}", service: dispatch, version: v2, availability_zone: {{zone .}}, checks_fencing: true}
{{- end}}
`

func (a *app) exampleCommand() *ffcli.Command {
	fs := flag.NewFlagSet("chicoryctl example", flag.ContinueOnError)
	folder := fs.String("folder", "", "directory to write to")
	base := fs.Int("base-port", defaultBasePort, "first of the 100 ports that the example uses")
	return &ffcli.Command{
		Name:       "example",
		ShortUsage: "chicoryctl example -folder DIR [-base-port 21000]",
		ShortHelp:  "Writes settings, keys and an initial configuration for one machine.",
		LongHelp:   "Three control VMs and three routers on 127.0.0.1, and changes.yaml for simulated targets.\n\nExample:\n  chicoryctl example -folder demo-data",
		FlagSet:    fs,
		Exec: func(context.Context, []string) error {
			if *folder == "" {
				return errors.New("the flag -folder is missing")
			}
			if *base < 1 || *base+portsEnd > maxPort {
				return errors.Errorf("base port %d is out of range", *base)
			}
			return a.writeExample(*folder, *base)
		},
	}
}

// writeExample writes the files of the example to folder.
func (a *app) writeExample(folder string, base int) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Trace(err)
	}
	vm := exampleVM{Folder: folder, Number: 1, Zone: zones[0], Base: base, All: []int{1, 2, 3}}
	for i, zone := range zones {
		vm.Number, vm.Zone = i+1, zone
		for name, text := range map[string]string{"c": controlExample, "r": routerExample} {
			if err := writeTemplate(folder, fmt.Sprintf("%s%d.yaml", name, i+1), text, vm); err != nil {
				return err
			}
		}
	}
	for name, text := range map[string]string{"ctl.yaml": ctlExample, "changes.yaml": changesExample} {
		if err := writeTemplate(folder, name, text, vm); err != nil {
			return err
		}
	}
	if err := os.WriteFile(filepath.Join(folder, "resume.key"), []byte(rand.Text()), secretMode); err != nil {
		return errors.Trace(err)
	}
	return a.issueExampleCertificates(filepath.Join(folder, "keys"))
}

func (a *app) issueExampleCertificates(folder string) error {
	roles := map[peer.Role][]string{
		peer.RoleControl:  {"c1", "c2", "c3"},
		peer.RoleRouter:   {"r1", "r2", "r3"},
		peer.RoleOperator: {"operator"},
	}
	for role, ids := range roles {
		if err := a.issueCertificates(folder, role, ids); err != nil {
			return err
		}
	}
	return nil
}

func writeTemplate(folder, name, text string, vm exampleVM) error {
	t := template.New(name).Funcs(template.FuncMap{"zone": func(n int) string { return zones[n-1] }})
	t, err := t.Parse(text)
	if err != nil {
		return errors.Trace(err)
	}
	var out strings.Builder
	if err := t.Execute(&out, vm); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(filepath.Join(folder, name), []byte(out.String()), fileMode))
}
