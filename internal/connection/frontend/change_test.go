package frontend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/request/exchange"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// TestPriorityOfTheTeamPrecedesThatOfTheRoute guards against requests of urgent teams that are treated like the
// others of their route.
func TestPriorityOfTheTeamPrecedesThatOfTheRoute(t *testing.T) {
	urgent := 0
	var admitted *exchange.AdmittedRequest
	x := listen(t, func(ctx context.Context, w http.ResponseWriter, a *exchange.AdmittedRequest) error {
		admitted = a
		return answerBody(ctx, w, a)
	})
	x.holder.Update(&declared.Configuration{
		Version:  2,
		Routes:   []declared.Route{{Name: "r", Host: "h", PathPrefix: "/", Timeout: time.Minute, Priority: 2, Services: []declared.WeightedService{{Service: "s", Weight: 1}}}},
		Services: []declared.Service{{Name: "s"}},
		Teams:    []declared.Team{{Name: "t", Keys: []string{"k"}}, {Name: "u", Keys: []string{"urgent"}, Priority: &urgent}},
	})
	for key, priority := range map[string]int{"k": 2, "urgent": urgent} {
		c, r := x.dial(t)
		_, err := fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: %s\r\nContent-Length: 4\r\n\r\nbody", key)
		assert.NilError(t, err)
		_, err = http.ReadResponse(r, nil)
		assert.NilError(t, err)
		assert.Equal(t, admitted.Priority, priority, "key %q", key)
	}
}

// TestChangeWhileABodyIsSent guards against a request that gets neither a response nor a refusal,
// or is served under a mixture of two configurations, because its key, route or limits are taken
// away while its body is being sent.
func TestChangeWhileABodyIsSent(t *testing.T) {
	base := declared.Configuration{
		Routes:   []declared.Route{{Name: "r", Host: "h", PathPrefix: "/", Timeout: time.Minute, Services: []declared.WeightedService{{Service: "s", Weight: 1}}}},
		Services: []declared.Service{{Name: "s"}},
		Teams:    []declared.Team{{Name: "t", Keys: []string{"k"}}},
	}
	for name, change := range map[string]func(*declared.Configuration){
		"key removed":         func(c *declared.Configuration) { c.Teams = []declared.Team{{Name: "t", Keys: []string{"other"}}} },
		"key of another team": func(c *declared.Configuration) { c.Teams = []declared.Team{{Name: "u", Keys: []string{"k"}}} },
		"route removed":       func(c *declared.Configuration) { c.Routes = nil },
		"timeout shortened": func(c *declared.Configuration) {
			c.Routes = []declared.Route{c.Routes[0]}
			c.Routes[0].Timeout = time.Millisecond
		},
		"body limit lowered": func(c *declared.Configuration) { c.Limits.BodyBytes = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			var admitted *exchange.AdmittedRequest
			x := listen(t, func(ctx context.Context, w http.ResponseWriter, a *exchange.AdmittedRequest) error {
				admitted = a
				return answerBody(ctx, w, a)
			})
			apply := func(version uint64, change func(*declared.Configuration)) {
				c := base
				c.Version = version
				change(&c)
				x.holder.Update(&c)
			}
			apply(2, func(*declared.Configuration) {})
			c, r := x.dial(t)
			_, err := fmt.Fprint(c, "POST /x HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\nContent-Length: 4\r\n\r\nbo")
			assert.NilError(t, err)
			time.Sleep(50 * time.Millisecond)
			apply(3, change)
			_, err = io.WriteString(c, "dy")
			assert.NilError(t, err)
			resp, err := http.ReadResponse(r, nil)
			assert.NilError(t, err)
			text, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(text), "body")
			assert.Equal(t, admitted.Version, uint64(2))
			assert.Equal(t, admitted.Team, "t")
		})
	}
}
