// Command chicoryctl is the command-line tool for operators.
package main

import (
	"os"

	"github.com/chicoryswitch/chicoryswitch/internal/ctl"
	"github.com/chicoryswitch/chicoryswitch/platform"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr, ctl.WithDocuments(platform.Documents{})))
}
