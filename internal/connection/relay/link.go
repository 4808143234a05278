package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/abort"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/ending"
)

// TCP keep-alive detects a target that no longer exists or can't be reached.
const (
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// link forwards bytes between one stream and one connection to a target.
type link struct {
	stream *serverStream
	conn   *ending.Conn
	target string
	bytes  metrics.Counter
	notice sync.WaitGroup // of sendClosing

	sendMu sync.Mutex // held while sending to the client
}

// forward returns when the client has closed the stream or is lost. After the end of the
// connection to the target it waits for that, so that the client can tell the end of a
// stream by the target from the loss of the helper.
func (l *link) forward(ctx context.Context) error {
	stop := context.AfterFunc(ctx, l.abort)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.fromTarget()
	}()
	err := l.toTarget()
	l.abort()
	<-done
	return err
}

// toTarget forwards messages of the client until its stream ends. After the end of the
// connection to the target they are discarded.
func (l *link) toTarget() error {
	for {
		m, err := l.stream.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		l.write(m.GetData())
	}
}

// write forwards bytes of the client. An error is ignored: the connection has ended, and Read tells why.
func (l *link) write(p []byte) {
	n, _ := l.conn.Write(p)
	l.bytes.Inc(int64(n))
}

// fromTarget forwards bytes of the target, and at last the reason why they end.
func (l *link) fromTarget() {
	b := make([]byte, chunkBytes)
	for {
		n, err := l.conn.Read(b)
		l.bytes.Inc(int64(n))
		if n > 0 && l.send(&chicoryv1.RelayServiceConnectResponse{Data: b[:n]}) != nil {
			return // the client has left
		}
		if err != nil {
			l.sendEnd(err)
			return
		}
	}
}

func (l *link) send(m *chicoryv1.RelayServiceConnectResponse) error {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	return l.stream.Send(m)
}

// sendClosing tells the client that the target wants no further requests. An error is ignored: the client
// has left.
func (l *link) sendClosing() { _ = l.send(&chicoryv1.RelayServiceConnectResponse{Closing: true}) }

// sendEnd closes the connection and tells the client why it ended. An error is ignored:
// the client has left.
func (l *link) sendEnd(err error) {
	_ = l.conn.Close()
	_ = l.send(&chicoryv1.RelayServiceConnectResponse{End: endOf(err), Reason: err.Error()})
}

// abort resets the connection to the target and discards unsent bytes, as the kernel does
// for a connection that is closed before all its bytes were read. Errors are ignored: the
// connection may be closed already.
func (l *link) abort() { _ = abort.Close(l.conn.Conn) }

func keepAlive(conn net.Conn) {
	if tcp, ok := conn.(interface {
		SetKeepAliveConfig(net.KeepAliveConfig) error
	}); ok {
		// An error is ignored: without keep-alive, only the detection of a dead target takes
		// longer.
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
		})
	}
}
