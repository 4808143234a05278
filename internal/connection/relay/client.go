package relay

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// helperPause is the time without connections through a helper after which the next one is
// logged.
const helperPause = time.Minute

type clientStream = connect.BidiStreamForClient[chicoryv1.RelayServiceConnectRequest, chicoryv1.RelayServiceConnectResponse]

// ClientOptions configure a client. Logger and Registry are required.
type ClientOptions struct {
	Logger   *logging.Logger
	Registry metrics.Registry
	// LocalIP is the address that helpers know this VM by; nil means that of the route.
	LocalIP net.IP
}

// Client opens connections to targets through helpers. It is safe for concurrent use.
type Client struct {
	logger    *logging.Logger
	used      metrics.Counter
	transport *http.Transport
	ctx       context.Context // ends with Close
	cancel    context.CancelFunc
	open      sync.WaitGroup // of the goroutines that read from streams

	mu     sync.Mutex           // guards usedAt, and open against Close
	usedAt map[string]time.Time // by helper, not older than helperPause at the last change
}

// NewClient returns a client with its own connections to helpers.
func NewClient(o ClientOptions) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		logger:    o.Logger,
		used:      metrics.GetOrRegisterCounter("relay.used", o.Registry),
		transport: newTransport(ctx, o.LocalIP),
		ctx:       ctx,
		cancel:    cancel,
		usedAt:    map[string]time.Time{},
	}
}

// Dial opens a connection to target through helper, both IP:port. The connection outlives
// ctx, which only bounds the opening. The error is a *TargetError or a *HelperError; if ctx
// ended before the helper responded, it is a *HelperError that wraps the context's error.
func (c *Client) Dial(ctx context.Context, helper, target string) (net.Conn, error) {
	remote, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, &TargetError{helper, target, err}
	}
	if err := ctx.Err(); err != nil {
		return nil, &HelperError{helper, err}
	}
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	service := chicoryv1connect.NewRelayServiceClient(&http.Client{Transport: c.transport}, peer.PlainURL(helper), peer.Uncompressed, readLimit)
	stream := service.Connect(streamCtx)
	end := func() {
		cancel()
		// Makes net/http see the cancelled context: it does not while it waits for more of the
		// request's body. The error of a stream that is not needed any more is ignored.
		_ = stream.CloseRequest()
	}
	stop := context.AfterFunc(ctx, end)
	err = establish(ctx, stream, helper, target)
	if !stop() && err == nil {
		err = &HelperError{helper, ctx.Err()}
	}
	if err != nil {
		end()
		_ = stream.CloseResponse() // nothing of the stream is needed any more
		return nil, err
	}
	return c.adopt(newConn(stream, end, helper, net.TCPAddrFromAddrPort(remote)))
}

// establish sends the target's address and waits until the helper has connected to it.
func establish(ctx context.Context, stream *clientStream, helper, target string) error {
	first := &chicoryv1.RelayServiceConnectRequest{Target: target, TimeoutMs: dialTimeoutMs(ctx)}
	// After a failed Send, Receive returns the reason.
	if err := stream.Send(first); err != nil && ctx.Err() != nil {
		return &HelperError{helper, ctx.Err()}
	}
	m, err := stream.Receive()
	switch {
	case err != nil && ctx.Err() != nil:
		return &HelperError{helper, ctx.Err()}
	case err != nil:
		return newHelperError(helper, err)
	case m.GetEnd() != chicoryv1.RelayEnd_RELAY_END_UNSPECIFIED:
		return &TargetError{helper, target, endError(m.GetEnd(), m.GetReason())}
	default:
		return nil
	}
}

// dialTimeoutMs returns the time that the helper has to connect to the target: nine tenths
// of what is left, so that its response arrives in time. 0 means no limit.
func dialTimeoutMs(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	ms := (time.Until(deadline) * 9 / 10).Milliseconds()
	return uint32(min(max(ms, 1), math.MaxUint32))
}

// adopt starts to read from a new connection, unless the client was closed meanwhile.
func (c *Client) adopt(conn *conn) (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		conn.endStream()
		return nil, &HelperError{conn.helper, errors.New("client is closed")}
	}
	c.used.Inc(1)
	c.logUse(conn)
	stop := context.AfterFunc(c.ctx, conn.close)
	c.open.Go(func() {
		defer stop()
		conn.receive()
	})
	return conn, nil
}

// logUse logs the first use of a helper after a pause. The caller must hold mu.
func (c *Client) logUse(conn *conn) {
	now := time.Now()
	if last, ok := c.usedAt[conn.helper]; !ok || now.Sub(last) >= helperPause {
		c.logger.Info(logging.RelayBegun, logging.Fields{"helper": conn.helper, "target": conn.remote.String()})
	}
	for helper, last := range c.usedAt {
		if now.Sub(last) >= helperPause {
			delete(c.usedAt, helper)
		}
	}
	c.usedAt[conn.helper] = now
}

// Close closes all connections, also those to helpers. Later calls of Dial fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.open.Wait()
}
