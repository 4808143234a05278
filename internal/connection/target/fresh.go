package target

import "net/http"

// maxRetired bounds the replaced transports that the pool still closes itself;
// older ones close their connections by the idle timeout.
const maxRetired = 32

// Fresh returns clients of the target at address that share no connection with
// stale, which went silent or was cut. Callers that give the same stale clients
// get the same fresh ones. Requests in flight on stale go on.
func (p *Pool) Fresh(address string, stale *Clients) *Clients {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[address]; ok && c != stale {
		return c
	}
	t := p.transport.Clone()
	p.replaced = append(p.replaced, t)
	if len(p.replaced) > maxRetired {
		p.replaced[0].CloseIdleConnections()
		p.replaced = p.replaced[1:]
	}
	c := newClients(&http.Client{Transport: t}, address)
	p.clients[address] = c
	return c
}
