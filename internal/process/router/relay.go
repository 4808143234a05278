package router

import (
	"context"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/watch"
)

// relayService lets other routers of the zone watch the configuration that this
// router runs. Only control VMs implement the other methods of ControlService.
type relayService struct {
	chicoryv1connect.UnimplementedControlServiceHandler
	watchServer *watch.Server
	done        context.Context
}

// Watch implements ControlService.
func (s *relayService) Watch(ctx context.Context, req *connect.Request[chicoryv1.WatchRequest], stream *connect.ServerStream[chicoryv1.WatchResponse]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.done, cancel)
	defer stop()
	return s.watchServer.Watch(ctx, req.Msg, stream.Send)
}
