package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"os"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/encoding/protojson"

	"net/http"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
)

func newFaultClient(address string) chicoryv1connect.FaultServiceClient {
	return chicoryv1connect.NewFaultServiceClient(http.DefaultClient, "http://"+address)
}

func faultCommand() *ffcli.Command {
	fs := flag.NewFlagSet("chicory-standin fault", flag.ContinueOnError)
	address := fs.String("address", "", "IP:port of the replica")
	text := fs.String("faults", "{}", "faults, as the JSON form of the protobuf message Faults")
	return &ffcli.Command{
		Name:       "fault",
		ShortUsage: "chicory-standin fault -address IP:port -faults JSON",
		ShortHelp:  "Sets the injected faults of one replica.",
		LongHelp:   "Example:\n  chicory-standin fault -address 127.0.0.1:9000 -faults '{\"freeze\": true}'",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			faults := &chicoryv1.Faults{}
			if err := protojson.Unmarshal([]byte(*text), faults); err != nil {
				return errors.Trace(err)
			}
			_, err := newFaultClient(*address).SetFaults(ctx, connect.NewRequest(&chicoryv1.SetFaultsRequest{Faults: faults}))
			return errors.Trace(err)
		},
	}
}

func arrivalsCommand() *ffcli.Command {
	fs := flag.NewFlagSet("chicory-standin arrivals", flag.ContinueOnError)
	address := fs.String("address", "", "IP:port of the replica")
	key := fs.String("key", "", "idempotency key whose calls are counted")
	return &ffcli.Command{
		Name:       "arrivals",
		ShortUsage: "chicory-standin arrivals -address IP:port [-key KEY]",
		ShortHelp:  "Prints the number of received calls with the key, of all calls and of running generations.",
		LongHelp:   "Example:\n  chicory-standin arrivals -address 127.0.0.1:9000 -key KEY",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			resp, err := newFaultClient(*address).Arrivals(ctx, connect.NewRequest(&chicoryv1.ArrivalsRequest{Key: *key}))
			if err != nil {
				return errors.Trace(err)
			}
			m := resp.Msg
			fmt.Printf("with_key=%d calls=%d running=%d\n", m.GetWithKey(), m.GetCalls(), m.GetRunning()[*address])
			return nil
		},
	}
}

func checkTextCommand() *ffcli.Command {
	fs := flag.NewFlagSet("chicory-standin check-text", flag.ContinueOnError)
	want := fs.Int("tokens", 0, "expected number of tokens")
	return &ffcli.Command{
		Name:       "check-text",
		ShortUsage: "chicory-standin check-text -tokens N < TEXT",
		ShortHelp:  "Checks that a text is one complete generation, without missing, repeated or foreign tokens.",
		LongHelp:   "Example:\n  chicory-standin check-text -tokens 300 < answer.txt",
		FlagSet:    fs,
		Exec: func(context.Context, []string) error {
			words := bufio.NewScanner(os.Stdin)
			words.Split(bufio.ScanWords)
			var tokens []string
			for words.Scan() {
				tokens = append(tokens, words.Text()+" ")
			}
			if len(tokens) != *want {
				return errors.Errorf("the text has %d tokens, expected %d", len(tokens), *want)
			}
			if err := standin.CheckTokens(tokens); err != nil {
				return errors.Trace(err)
			}
			fmt.Printf("%d tokens of one generation, none missing or repeated\n", len(tokens))
			return nil
		},
	}
}
