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

// way is how a generation survives the death of its router.
type way int

const (
	// wayResupply: the caller brings its tokens, their proof and its request.
	wayResupply way = iota
	// wayToken: the caller brings its token; the engine's buffer has the text.
	wayToken
	// wayJournalSync: each chunk is in another router's journal before its release.
	wayJournalSync
	// wayJournalBatched: chunks go to the journal in batches, after their release.
	wayJournalBatched
)

var wayNames = []string{"resupply", "token_alone", "journal_sync", "journal_batched"}

// router is a router in this process: the production service behind Connect.
type router struct {
	chicoryv1connect.UnimplementedCallerServiceHandler
	service  *generation.Service
	registry metrics.Registry
	network  *network
	pool     *target.Pool
	server   *http.Server
	address  string
	way      way
	journal  *journalClient
}

func startRouter(holder *config.Holder, r *roles, w way, j *journalClient, s generation.Settings) (*router, error) {
	out := &router{network: &network{}, way: w, journal: j, registry: metrics.NewRegistry()}
	out.pool = target.NewPool(out.network.dial)
	var err error
	out.service, err = generation.New(generation.Options{
		Holder: holder, Pool: out.pool, Picker: r, Admitter: r, Chooser: r, Budget: r, Recorder: r,
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

// serve listens on a free port of the loopback interface.
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

// kill ends the router as a crash does: nothing is sent to anyone any more.
func (r *router) kill() {
	_ = r.server.Close()
	r.network.cut(true)
}

func (r *router) close() {
	_ = r.server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_ = r.service.Drain(ctx)
	r.network.cut(true)
	r.pool.Close()
}

// Generate implements the CallerService.
func (r *router) Generate(ctx context.Context, req *connect.Request[chicoryv1.GenerateRequest], s *connect.ServerStream[chicoryv1.GenerateResponse]) error {
	send := r.journalled(ctx, req.Msg.GetRequestId(), req.Msg, func(c *chicoryv1.GenerationChunk) error {
		return s.Send(&chicoryv1.GenerateResponse{Chunk: c})
	})
	return answer(r.service.Generate(ctx, req.Msg, send))
}

// Resume implements the CallerService. Ways other than resupply take away what
// the caller brought, and journals give it back.
func (r *router) Resume(ctx context.Context, req *connect.Request[chicoryv1.ResumeRequest], s *connect.ServerStream[chicoryv1.ResumeResponse]) error {
	original := req.Msg.GetOriginal()
	if r.way != wayResupply {
		req.Msg.Received, req.Msg.Original = nil, nil
	}
	if r.journal != nil {
		r.journal.restore(ctx, req.Msg)
	}
	send := r.journalled(ctx, req.Msg.GetRequestId(), original, func(c *chicoryv1.GenerationChunk) error {
		return s.Send(&chicoryv1.ResumeResponse{Chunk: c})
	})
	return answer(r.service.Resume(ctx, req.Msg, send))
}

// Cancel implements the CallerService.
func (r *router) Cancel(ctx context.Context, req *connect.Request[chicoryv1.CancelRequest]) (*connect.Response[chicoryv1.CancelResponse], error) {
	return connect.NewResponse(&chicoryv1.CancelResponse{}), answer(r.service.Cancel(ctx, req.Msg))
}

func answer(err error) error {
	if err == nil {
		return nil
	}
	return fault.ToConnect(err, "")
}

// journalled wraps send so that the journal gets each chunk.
func (r *router) journalled(ctx context.Context, id string, req *chicoryv1.GenerateRequest, send generation.SendFunc) generation.SendFunc {
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
		if err := r.journal.add(ctx, e); err != nil {
			return err
		}
		return send(c)
	}
}
