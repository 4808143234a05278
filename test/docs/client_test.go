package docs_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/client"
)

const callersPage = "../../docs/callers.md"

// bookAndSummarise is the Go example of docs/callers.md, letter for letter.
func bookAndSummarise(ctx context.Context, balancer string) error {
	c, err := client.New(client.Options{Addresses: []string{balancer}})
	if err != nil {
		return err
	}
	defer c.Close()

	booking := &chicoryv1.CallRequest{
		Team: "desk", Route: "booking", Method: "book",
		Payload: []byte("to the rambla"), Key: client.NewKey(), TimeoutMs: 3000,
	}
	if _, err := c.Call(ctx, booking); err != nil {
		var refusal *client.Error
		if errors.As(err, &refusal) {
			fmt.Println(refusal.Kind, refusal.Ran, refusal.RetryAfter)
		}
		return err
	}

	stream, err := c.Generate(ctx, &chicoryv1.GenerateRequest{
		Team: "desk", Route: "summaries", Prompt: "The day", MaxTokens: 200,
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Next() {
		fmt.Print(strings.Join(stream.Tokens(), ""))
	}
	return stream.Err()
}

func TestCallersPageExampleCompiles(t *testing.T) {
	page, err := os.ReadFile(callersPage)
	assert.NilError(t, err)
	_, rest, ok := strings.Cut(string(page), "```go\n")
	assert.Assert(t, ok, "the page has no Go example")
	example, _, ok := strings.Cut(rest, "```")
	assert.Assert(t, ok)
	source, err := os.ReadFile("client_test.go")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(source), example), "the Go example of the page differs from bookAndSummarise")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, bookAndSummarise(ctx, "127.0.0.1:1") != nil)
}
