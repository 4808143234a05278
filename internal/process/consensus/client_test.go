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

// client calls drawn nodes until ctx ends and notes what it saw.
func (c *cluster) client(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(10+number)))
	for i := 0; pause.For(ctx, time.Duration(random.IntN(150))*time.Millisecond); i++ {
		id := c.ids[random.IntN(len(c.ids))]
		if n := c.net.node(id); n != nil {
			text := ""
			if random.IntN(3) > 0 {
				text = fmt.Sprintf("%d.%d ", number, i)
			}
			c.do(ctx, n, id, number, text)
		}
	}
}

func (c *cluster) do(ctx context.Context, n *Node, id string, number int, text string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	op := porcupine.Operation{ClientId: number, Input: operation{text}, Call: c.tick()}
	var state *register
	c.net.set(func() { state = c.states[id] })
	var value any
	var err error
	if text == "" {
		if err = n.ReadBarrier(ctx); err == nil {
			value = state.read()
		}
	} else {
		value, err = n.Propose(ctx, []byte(text))
	}
	op.Return = c.tick()
	switch {
	case err == nil:
		op.Output = reply{value: value.(string)}
	case text == "" || fault.Is(err, fault.NotLeader):
		return // a read that failed or an append that surely did not happen
	default:
		op.Output = reply{unknown: true}
		op.Return = math.MaxInt64
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history = append(c.history, op)
}

// tick orders the beginnings and ends of calls.
func (c *cluster) tick() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock++
	return c.clock
}

// linearizable checks the history against one copy of the register.
func (c *cluster) linearizable() error {
	const limit = 20 * time.Second
	switch porcupine.CheckOperationsTimeout(registerModel, c.history, limit) {
	case porcupine.Ok:
		return nil
	case porcupine.Unknown:
		return errors.Errorf("%d calls are too many to check", len(c.history))
	}
	return errors.Errorf("%d calls are not linearizable", len(c.history))
}
