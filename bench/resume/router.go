package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	metrics "github.com/rcrowley/go-metrics"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/generation"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// strategy is how a generation recovers from the loss of its router.
type strategy int

const (
	// strategyResupply: the caller sends its tokens, their proof and its request again.
	strategyResupply strategy = iota
	// strategyTokenOnly: the caller sends only its resume token. The text comes from the
	// engine's buffer.
	strategyTokenOnly
	// strategyJournalSync: each chunk is written to the journal of another router before
	// it is sent to the caller.
	strategyJournalSync
	// strategyJournalBatched: chunks are written to the journal in batches, after they
	// were sent to the caller.
	strategyJournalBatched
)

var strategyNames = []string{"resupply", "token_alone", "journal_sync", "journal_batched"}

// router is a router in this process. It serves the production generation service over
// Connect.
type router struct {
	chicoryv1connect.UnimplementedCallerServiceHandler
	service  *generation.Service
	registry metrics.Registry
	network  *faultNetwork
	pool     *target.Pool
	server   *http.Server
	address  string
	strategy strategy
	journal  *journalClient
}

func startRouter(holder *config.Holder, policies *stubPolicies, strategy strategy, j *journalClient, s generation.Settings) (*router, error) {
	out := &router{network: &faultNetwork{}, strategy: strategy, journal: j, registry: metrics.NewRegistry()}
	out.pool = target.NewPool(out.network.dial)
	var err error
	out.service, err = generation.New(generation.Options{
		Holder: holder, Pool: out.pool, Picker: policies, Admitter: policies, Chooser: policies, Budget: policies, Recorder: policies,
		TokenKey: []byte("bench-resume-key"), Logger: logging.Discard(), Settings: s, Metrics: out.registry,
	})
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(chicoryv1connect.NewCallerServiceHandler(out))
	out.server, out.address, err = serve(mux)
	return out, err
}

// serve starts a server without TLS on a free port of the loopback interface.
func serve(h http.Handler) (*http.Server, string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: h, Protocols: p}
	go func() { _ = s.Serve(ln) }()
	return s, ln.Addr().String(), nil
}

// kill simulates a crash: it closes all connections, so that nothing more is sent.
func (r *router) kill() {
	_ = r.server.Close()
	r.network.closeConns(true)
}

func (r *router) close() {
	_ = r.server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_ = r.service.Drain(ctx)
	r.network.closeConns(true)
	r.pool.Close()
}

// Generate implements the CallerService.
func (r *router) Generate(ctx context.Context, req *connect.Request[chicoryv1.GenerateRequest], s *connect.ServerStream[chicoryv1.GenerateResponse]) error {
	send := r.withJournal(ctx, req.Msg.GetRequestId(), req.Msg, func(c *chicoryv1.GenerationChunk) error {
		return s.Send(&chicoryv1.GenerateResponse{Chunk: c})
	})
	return toConnectError(r.service.Generate(ctx, req.Msg, send))
}

// Resume implements the CallerService. Strategies other than strategyResupply discard the
// tokens and the request that the caller sent; the journal strategies restore them.
func (r *router) Resume(ctx context.Context, req *connect.Request[chicoryv1.ResumeRequest], s *connect.ServerStream[chicoryv1.ResumeResponse]) error {
	original := req.Msg.GetOriginal()
	if r.strategy != strategyResupply {
		req.Msg.Received, req.Msg.Original = nil, nil
	}
	if r.journal != nil {
		r.journal.restore(ctx, req.Msg)
	}
	send := r.withJournal(ctx, req.Msg.GetRequestId(), original, func(c *chicoryv1.GenerationChunk) error {
		return s.Send(&chicoryv1.ResumeResponse{Chunk: c})
	})
	return toConnectError(r.service.Resume(ctx, req.Msg, send))
}

// Cancel implements the CallerService.
func (r *router) Cancel(ctx context.Context, req *connect.Request[chicoryv1.CancelRequest]) (*connect.Response[chicoryv1.CancelResponse], error) {
	return connect.NewResponse(&chicoryv1.CancelResponse{}), toConnectError(r.service.Cancel(ctx, req.Msg))
}

func toConnectError(err error) error {
	if err == nil {
		return nil
	}
	return fault.ToConnect(err, "")
}

// withJournal returns a function that writes each chunk to the journal, if there is one,
// and then calls send.
func (r *router) withJournal(ctx context.Context, id string, req *chicoryv1.GenerateRequest, send generation.SendFunc) generation.SendFunc {
	if r.journal == nil {
		return send
	}
	first := true
	return func(c *chicoryv1.GenerationChunk) error {
		e := &chicoryv1.JournalEntry{
			GenerationId: id, Offset: c.GetOffset(), Tokens: c.GetTokens(),
			Ended: c.GetFinishReason() != chicoryv1.FinishReason_FINISH_REASON_UNSPECIFIED,
		}
		if first {
			e.Request = req
			first = false
		}
		if err := r.journal.appendEntry(ctx, e); err != nil {
			return err
		}
		return send(c)
	}
}
