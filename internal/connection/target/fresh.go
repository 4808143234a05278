package target

import "time"

// retireDelay is how long a replaced connection may still end its requests
// before it is closed as soon as it is idle.
const retireDelay = 10 * time.Second

// Fresh returns clients of the target at address that share no connection with
// stale, which went silent or was cut. Callers that give the same stale clients
// get the same fresh ones. Requests in flight on stale go on.
func (p *Pool) Fresh(address string, stale *Clients) *Clients {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[address]; ok && c != stale {
		return c
	}
	if stale != nil {
		time.AfterFunc(retireDelay, stale.transport.CloseIdleConnections)
	}
	c := newClients(p.transport.Clone(), address)
	p.clients[address] = c
	return c
}
