package ctl

import (
	"context"
	"flag"
	"fmt"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/process/certs"
)

func (a *app) certsCommand() *ffcli.Command {
	fs := flag.NewFlagSet("chicoryctl certs", flag.ContinueOnError)
	folder := fs.String("folder", "", "directory of the certificate authority and the certificates")
	role := fs.String("role", "", "role of the certificates: control, router or operator")
	return &ffcli.Command{
		Name:       "certs",
		ShortUsage: "chicoryctl certs -folder DIR -role control|router|operator ID...",
		ShortHelp:  "Issues certificates for processes and operators, and creates the certificate authority if there is none.",
		LongHelp:   "Running processes reload replaced files automatically.\n\nExample:\n  chicoryctl certs -folder keys -role control c1 c2 c3",
		FlagSet:    fs,
		Exec: func(_ context.Context, ids []string) error {
			r := peer.Role(*role)
			if r != peer.RoleControl && r != peer.RoleRouter && r != peer.RoleOperator {
				return errors.Errorf("role %q is not control, router or operator", *role)
			}
			return a.issueCertificates(*folder, r, ids)
		},
	}
}

// issueCertificates writes a certificate for each ID and prints its path.
func (a *app) issueCertificates(folder string, role peer.Role, ids []string) error {
	if folder == "" {
		return errors.New("the flag -folder is missing")
	}
	authority, err := certs.OpenAuthority(folder)
	if err != nil {
		return errors.Trace(err)
	}
	for _, id := range ids {
		files, err := authority.Issue(peer.Identity{ID: id, Role: role})
		if err != nil {
			return errors.Trace(err)
		}
		fmt.Fprintln(a.out, files.Certificate)
	}
	return nil
}
