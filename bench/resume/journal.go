package main

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/process/certs"
)

// batchPeriod is the interval at which batched chunks are sent.
const batchPeriod = 50 * time.Millisecond

// journalServer stores the requests and tokens of open generations for other routers.
type journalServer struct {
	server  *peer.Server
	address string
	keys    *peer.Credentials

	mu      sync.Mutex // guards entries
	entries map[string]*chicoryv1.JournalServiceFetchResponse
}

func startJournal() (*journalServer, error) {
	dir, err := os.MkdirTemp("", "bench-resume")
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	authority, err := certs.OpenAuthority(dir)
	if err != nil {
		return nil, errors.Trace(err)
	}
	files, err := authority.Issue(peer.Identity{ID: "router", Role: peer.RoleRouter})
	if err != nil {
		return nil, errors.Trace(err)
	}
	j := &journalServer{entries: map[string]*chicoryv1.JournalServiceFetchResponse{}}
	if j.keys, err = peer.LoadCredentials(files); err != nil {
		return nil, errors.Trace(err)
	}
	mux := http.NewServeMux()
	mux.Handle(chicoryv1connect.NewJournalServiceHandler(j))
	if j.server, err = peer.Listen("127.0.0.1:0", j.keys, mux); err != nil {
		return nil, errors.Trace(err)
	}
	j.address = j.server.Addr().String()
	return j, nil
}

// Append implements the JournalService.
func (j *journalServer) Append(_ context.Context, req *connect.Request[chicoryv1.JournalServiceAppendRequest]) (*connect.Response[chicoryv1.JournalServiceAppendResponse], error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, e := range req.Msg.GetEntries() {
		stored := j.entries[e.GetGenerationId()]
		if stored == nil {
			stored = &chicoryv1.JournalServiceFetchResponse{Found: true}
			j.entries[e.GetGenerationId()] = stored
		}
		if e.GetRequest() != nil {
			stored.Request = e.GetRequest()
		}
		if int(e.GetOffset()) <= len(stored.Tokens) {
			stored.Tokens = append(stored.Tokens[:e.GetOffset()], e.GetTokens()...)
		}
		if e.GetEnded() {
			delete(j.entries, e.GetGenerationId())
		}
	}
	return connect.NewResponse(&chicoryv1.JournalServiceAppendResponse{}), nil
}

// Fetch implements the JournalService.
func (j *journalServer) Fetch(_ context.Context, req *connect.Request[chicoryv1.JournalServiceFetchRequest]) (*connect.Response[chicoryv1.JournalServiceFetchResponse], error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	stored := j.entries[req.Msg.GetGenerationId()]
	if stored == nil {
		return connect.NewResponse(&chicoryv1.JournalServiceFetchResponse{}), nil
	}
	return connect.NewResponse(&chicoryv1.JournalServiceFetchResponse{
		Found: true, Request: stored.Request, Tokens: append([]string(nil), stored.Tokens...),
	}), nil
}

// countingPacketConn counts the bytes sent and received on a UDP socket.
type countingPacketConn struct {
	net.PacketConn
	traffic *byteCounter
}

func (p countingPacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	n, a, err := p.PacketConn.ReadFrom(b)
	p.traffic.total.Add(int64(n))
	return n, a, err
}

func (p countingPacketConn) WriteTo(b []byte, a net.Addr) (int, error) {
	p.traffic.total.Add(int64(len(b)))
	return p.PacketConn.WriteTo(b, a)
}

// journalClient writes one router's chunks to the journal.
type journalClient struct {
	traffic byteCounter
	service chicoryv1connect.JournalServiceClient
	http3   *http3.Transport
	quic    *quic.Transport
	stop    chan struct{}
	batched bool

	mu      sync.Mutex // guards pending
	pending []*chicoryv1.JournalEntry
}

func newJournalClient(j *journalServer, batched bool) (*journalClient, error) {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	c := &journalClient{batched: batched, stop: make(chan struct{})}
	c.quic = &quic.Transport{Conn: countingPacketConn{socket, &c.traffic}}
	c.http3 = &http3.Transport{
		TLSClientConfig:    j.keys.ClientConfig(),
		DisableCompression: true,
		Dial: func(ctx context.Context, address string, t *tls.Config, q *quic.Config) (*quic.Conn, error) {
			udpAddr, err := net.ResolveUDPAddr("udp", address)
			if err != nil {
				return nil, err
			}
			return c.quic.DialEarly(ctx, udpAddr, t, q)
		},
	}
	c.service = chicoryv1connect.NewJournalServiceClient(&http.Client{Transport: c.http3}, peer.BaseURL(j.address), uncompressed)
	if batched {
		go c.sendBatches()
	}
	return c, nil
}

func (c *journalClient) close() {
	close(c.stop)
	_ = c.http3.Close()
	_ = c.quic.Close()
}

// appendEntry writes one entry to the journal, immediately or with the next batch.
func (c *journalClient) appendEntry(ctx context.Context, e *chicoryv1.JournalEntry) error {
	if !c.batched {
		_, err := c.service.Append(ctx, connect.NewRequest(&chicoryv1.JournalServiceAppendRequest{
			Entries: []*chicoryv1.JournalEntry{e},
		}))
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, e)
	return nil
}

func (c *journalClient) sendBatches() {
	ticker := time.NewTicker(batchPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		batch := c.pending
		c.pending = nil
		c.mu.Unlock()
		if len(batch) > 0 {
			_, _ = c.service.Append(context.Background(), connect.NewRequest(&chicoryv1.JournalServiceAppendRequest{Entries: batch}))
		}
	}
}

// restore adds the original request and the received tokens from the journal to a resume
// request. The tokens end at the caller's offset and are checked against the caller's
// proof. If the journal has fewer tokens than the caller, the request stays unchanged.
func (c *journalClient) restore(ctx context.Context, req *chicoryv1.ResumeRequest) {
	resp, err := c.service.Fetch(ctx, connect.NewRequest(&chicoryv1.JournalServiceFetchRequest{GenerationId: req.GetRequestId()}))
	if err != nil || !resp.Msg.GetFound() || uint64(len(resp.Msg.GetTokens())) < req.GetOffset() {
		return
	}
	req.Original = resp.Msg.GetRequest()
	req.Received = resp.Msg.GetTokens()[:req.GetOffset()]
}
