package consensus

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
)

// runClient calls random nodes until ctx ends and records the calls in the history.
func (c *cluster) runClient(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(10+number)))
	for i := 0; pause.For(ctx, time.Duration(random.IntN(150))*time.Millisecond); i++ {
		id := c.ids[random.IntN(len(c.ids))]
		if n := c.net.node(id); n != nil {
			text := ""
			if random.IntN(3) > 0 {
				text = fmt.Sprintf("%d.%d ", number, i)
			}
			c.callNode(ctx, n, id, number, text)
		}
	}
}

// callNode appends text through a node, or reads when text is empty, and records the call.
func (c *cluster) callNode(ctx context.Context, n *Node, id string, number int, text string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	op := porcupine.Operation{ClientId: number, Input: operation{text}, Call: c.nextTimestamp()}
	var state *register
	c.net.withLock(func() { state = c.states[id] })
	var value any
	var err error
	if text == "" {
		if err = n.ReadBarrier(ctx); err == nil {
			value = state.read()
		}
	} else {
		value, err = n.Propose(ctx, []byte(text))
	}
	op.Return = c.nextTimestamp()
	switch {
	case err == nil:
		op.Output = reply{value: value.(string)}
	case text == "" || fault.Is(err, fault.NotLeader):
		return // a failed read, or an append that certainly did not happen
	default:
		op.Output = reply{unknown: true}
		op.Return = math.MaxInt64
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history = append(c.history, op)
}

// nextTimestamp returns a counter value that orders the starts and ends of calls.
func (c *cluster) nextTimestamp() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock++
	return c.clock
}

// checkLinearizable checks the history against a single register.
func (c *cluster) checkLinearizable() error {
	const limit = 20 * time.Second
	switch porcupine.CheckOperationsTimeout(registerModel, c.history, limit) {
	case porcupine.Ok:
		return nil
	case porcupine.Unknown:
		return errors.Errorf("%d calls are too many to check", len(c.history))
	}
	return errors.Errorf("%d calls are not linearizable", len(c.history))
}
